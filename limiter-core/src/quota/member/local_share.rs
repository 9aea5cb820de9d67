//! Admission from the member's even share, without waiting for an owner.

use crate::event::{Action, Request, RequestId};
use crate::gossip::{GossipLine, QuotaRequest};
use crate::limiter::Limiter;
use crate::quota::keys::GrantKey;

impl Limiter {
    /// Admits a request from the even share and notifies the first owner, if the share and the owner's bucket
    /// have enough units: waiting for the owner's reply would only add latency. Requests a grant otherwise.
    pub(crate) fn admit_or_request_grant(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let request = pending.request.clone();
        let Some(owner) = self.owner_to_notify(&request) else {
            return self.request_grant(id, out);
        };
        let quota_request = self.member_quotas.quota_request(&request);
        if !self.authorize_local_spending(&request, &quota_request) {
            // A denial by the local fraction of the ceiling must not be retained: if the preceding owners are
            // silent, this limiter is asked as an owner and has to decide anew.
            self.owned_quotas.forget_decision(GrantKey::local(&self.context, id));
            return self.request_grant(id, out);
        }
        self.member_quotas.spend_even_share(&request);
        self.requests.update(id, |pending| pending.granting_owner = Some(owner));
        let spent = QuotaRequest { already_spent: true, ..quota_request };
        self.send_gossip(owner, GossipLine::QuotaRequest(spent), out);
        self.forward_or_queue(id, out);
    }

    /// Returns the peer that is the first owner of the request's quota and must be notified of spent units.
    /// Returns `None` if units may not be spent without asking: this limiter is the first owner, limiters
    /// exchange no gossip, or the plan limits attempts in flight, which only an owner can count.
    fn owner_to_notify(&self, request: &Request) -> Option<u32> {
        let settings = &self.context.settings;
        let owner = self.owner_of(request, 0)?;
        let may_spend = owner != settings.position
            && settings.can_gossip
            && self.context.plan(request).max_in_flight == 0;
        may_spend.then_some(owner)
    }

    /// Returns whether a request may spend from the even share. Under a ceiling, this limiter must also be an
    /// owner and grant the units from its fraction of the ceiling; a grant spends the units of that fraction.
    fn authorize_local_spending(&mut self, request: &Request, quota_request: &QuotaRequest) -> bool {
        if !self.member_quotas.even_share_covers(&self.context, request) {
            return false;
        }
        if !self.context.plan(request).has_ceiling() {
            return true;
        }
        let key = GrantKey::local(&self.context, request.id);
        let reply = self.owned_quotas.decide(&self.context, key, quota_request);
        reply.is_some_and(|reply| reply.granted)
    }
}
