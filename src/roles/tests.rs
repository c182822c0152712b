use super::*;

#[test]
fn a_member_stands_in_the_set_of_its_role_alone() {
    let mut roles = Roles::default();
    let (a, b) = (EndpointId(1), EndpointId(2));
    roles.place(b, Role::Cache);
    roles.place(a, Role::Cache);
    assert!(roles.of(Role::Cache).eq([a, b]), "by their ids");
    roles.place(a, Role::Parent);
    assert!(roles.of(Role::Cache).eq([b]) && roles.of(Role::Parent).eq([a]));
    roles.place(b, Role::Elsewhere);
    roles.forget(a);
    for role in [Role::Cache, Role::Parent, Role::Origin, Role::Elsewhere] {
        assert_eq!(roles.of(role).count(), 0, "{role:?}");
    }
}
