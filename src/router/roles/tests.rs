use super::*;

#[test]
fn endpoint_is_in_the_set_of_its_role_alone() {
    let mut roles = Roles::default();
    let (a, b) = (EndpointId(1), EndpointId(2));
    roles.assign(b, Role::Cache);
    roles.assign(a, Role::Cache);
    assert!(roles.with_role(Role::Cache).eq([a, b]), "by their ids");
    roles.assign(a, Role::Parent);
    assert!(roles.with_role(Role::Cache).eq([b]) && roles.with_role(Role::Parent).eq([a]));
    roles.assign(b, Role::OtherZone);
    roles.unassign(a);
    for role in [Role::Cache, Role::Parent, Role::Origin, Role::OtherZone] {
        assert_eq!(roles.with_role(role).count(), 0, "{role:?}");
    }
}
