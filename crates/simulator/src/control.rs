//! The control plane: delivery of endpoint lists and purges to dispatchers and hosts.
use crate::event::Event;
use crate::simulation::{Simulation, EPOCH};
use pointspindle::{Micros, ObjectId};
use pointspindle_audit::trace::TraceEvent;
use pointspindle_cache_model::{HostId, ModelInput, Role};
use pointspindle_dispatcher::Input;
use pointspindle_fleet_model::control_plane::{list_update, ControlUpdate, ListedEndpoint};
use pointspindle_fleet_model::purge_propagation::purge_drop_delay;
use pointspindle_protocol::{EndpointListForm, PurgeHead};
use pointspindle_scenario::script::ListedState;

fn object_number(object: Option<&str>) -> Option<u64> {
    object.map(|name| ObjectId::named(name).0)
}

impl Simulation<'_> {
    /// Delivers the updates of the control plane that are due.
    pub fn deliver_control_updates(&mut self) {
        for (dispatcher, update) in self.control_plane.take_due(self.now) {
            match update {
                ControlUpdate::Purge { object, group, at } => {
                    self.deliver_purge(dispatcher, object, group, at);
                }
                ControlUpdate::Delta(seq, endpoints) => {
                    self.deliver_list(dispatcher, EndpointListForm::Delta, seq, &endpoints);
                }
                ControlUpdate::Full(seq, endpoints) => {
                    self.deliver_list(dispatcher, EndpointListForm::Full, seq, &endpoints);
                }
            }
        }
    }

    fn deliver_purge(
        &mut self,
        dispatcher: usize,
        object: Option<String>,
        group: u64,
        purged_at: Micros,
    ) {
        let number = object_number(object.as_deref());
        let version_from = self.cache_model.current_version(number.unwrap_or(0), group);
        self.record(TraceEvent::PurgeDelivered {
            dispatcher,
            object: number,
            group,
            version_from,
        });
        let purge = PurgeHead {
            object,
            group,
            age_us: self.now.saturating_sub(purged_at),
            seq: 0,
        };
        self.core_input(dispatcher, Input::Purge(purge));
    }

    fn deliver_list(
        &mut self,
        dispatcher: usize,
        form: EndpointListForm,
        seq: u64,
        endpoints: &[ListedEndpoint],
    ) {
        let describe = |host: HostId| {
            let entry = self.hosts.get(host)?;
            Some((entry.role, entry.zone_name.as_str(), entry.weight))
        };
        let fault = self.injected_fault;
        let update = list_update(dispatcher, form, seq, endpoints, self.now, fault, describe);
        self.record(update.event);
        if !update.withheld {
            self.core_input(dispatcher, Input::EndpointList(update.head));
        }
    }

    /// Updates an endpoint in the control plane, which delivers the update to dispatchers later.
    pub fn update_endpoint(&mut self, host: HostId, state: ListedState) {
        if state == ListedState::Ready && !self.cache_model.is_up(host) {
            return;
        }
        let (incarnation, started) = self.cache_model.incarnation(host);
        let endpoint = ListedEndpoint {
            host,
            address: self.hosts.address(host),
            state,
            incarnation,
            started_at: started.map(|at| at - EPOCH),
        };
        self.control_plane.update_endpoint(self.now, endpoint);
    }

    /// Purges an object, or the whole group if no object is given: the origin has a new version, and each host drops
    /// its copies after a delay of its own.
    pub fn purge(&mut self, object: Option<String>, group: u64) {
        let number = object_number(object.as_deref());
        self.model_input(ModelInput::OriginUpdate {
            object: number,
            group,
        });
        self.control_plane.purge(self.now, object, group);
        if self.ignores_purges() {
            return;
        }
        let caching_hosts: Vec<HostId> = self
            .cache_model
            .hosts()
            .filter(|(_, host)| host.role != Role::Origin)
            .map(|(id, _)| id)
            .collect();
        for host in caching_hosts {
            let target = number.unwrap_or(group);
            let delay = purge_drop_delay(self.scenario, target, host, self.now);
            let drop_copies = Event::DropCopies {
                host,
                object: number,
                group,
                purged_at: self.now,
            };
            self.schedule_in(delay, drop_copies);
        }
    }
}
