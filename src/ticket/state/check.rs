//! Checks of a ticket against the state.
//!
//! Only the daemons that read tickets from the platform run these checks, because the result
//! depends on the order of arrival. Merging must not depend on the order and does not use them.

use std::sync::Arc;

use crate::ticket::{
    Content, Item, Number, ObjectId, Refusal, State, Ticket,
    state::claims::{self, Claim},
};

impl State {
    /// Checks a ticket against the state and splits it into items.
    pub(super) fn check_ticket(&self, ticket: Ticket) -> Result<Vec<Item>, Refusal> {
        let number = ticket.number;
        ticket.validate(self.known_zones.as_deref()).map_err(|invalid| {
            let invalid = Box::new(invalid);
            Refusal::Invalid { number, invalid }
        })?;
        let services = ticket.services.into_iter().map(Content::Service);
        let zones = ticket.zones.into_iter().map(Content::Zone);
        let policies = ticket.policies.into_iter().map(Content::Policy);
        let items: Vec<Item> = services
            .chain(zones)
            .chain(policies)
            .map(|content| Item { number, content: Arc::new(content) })
            .collect();
        self.check_number_reuse(number, &items)?;
        if self.history.is_refused(number) {
            return Err(Refusal::AlreadyRefused { number });
        }
        if !self.history.is_applied(number) {
            self.check_claims(number, &items)?;
        }
        Ok(items)
    }

    /// Checks that a ticket with the same number, if one is in force, has set each of these objects
    /// to the same content.
    fn check_number_reuse(&self, number: Number, items: &[Item]) -> Result<(), Refusal> {
        let in_force = self.history.is_applied(number);
        for item in items {
            let object = item.object();
            let mut versions = self.versions(object.id());
            let latest_up_to = versions.find(|version| version.number <= number);
            let conflicts = match latest_up_to {
                Some(version) if version.number == number => version.content != item.content,
                // The state has no version of the object with this number. If a ticket with the
                // number is in force nevertheless, it did not set the object, and this ticket is
                // another one. This cannot be told if a newer version of the object is in force,
                // because the version with this number may have been dropped.
                _ => {
                    let newest = self.get(object.id());
                    in_force && newest.is_none_or(|newest| newest.number < number)
                }
            };
            if conflicts {
                return Err(Refusal::NumberReused { number, object });
            }
        }
        Ok(())
    }

    /// Checks that no other service uses an address that the items use.
    ///
    /// Each other service is considered in its newest version with a number below the ticket's,
    /// because a zone reader that restarts reads old tickets after it has received newer state from
    /// other members, and must come to the same decision as the reader that read the ticket first.
    fn check_claims(&self, number: Number, items: &[Item]) -> Result<(), Refusal> {
        let objects_in_ticket: Vec<ObjectId> =
            items.iter().map(|item| item.object().id()).collect();
        for item in items {
            for claim in claims::of(item) {
                let users = self.claims.services(claim);
                let owner = users
                    .iter()
                    .filter(|owner| !objects_in_ticket.contains(owner))
                    .filter_map(|owner| self.versions(*owner).find(|v| v.number < number))
                    .find(|owner| claims::of(owner).contains(&claim));
                if let Some(owner) = owner {
                    return Err(in_use(claim, item, owner));
                }
            }
        }
        Ok(())
    }
}

/// Returns the refusal of `item`, which uses an address that the item `owner` uses too.
fn in_use(claim: Claim, item: &Item, owner: &Item) -> Refusal {
    let number = item.number;
    let object = item.object();
    let since = owner.number;
    let owner = owner.object();
    match claim {
        Claim::Address(address) => Refusal::AddressInUse { number, object, address, owner, since },
        Claim::Target(address) => {
            Refusal::TargetAddressInUse { number, object, address, owner, since }
        }
    }
}
