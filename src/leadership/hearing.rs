//! Holders that hear nothing of machines which others hear. A controller that is cut off from its
//! workers alone keeps its grant and its blocks; its machines ask the others, are sent back, and
//! lose all their work when their leases run out (Tramite fleet, apart: 0.94 of the replicas in the
//! worst 30 s). Blocks of such a holder are leased to others, which only costs a token.
//!
//! Silence alone says nothing of the sort: a zone may be cut off, and then nobody hears it.

use crate::config::Config;
use crate::ids::{BlockId, MachineId, Member, Span, Time};
use crate::peers::MachineHealth;
use crate::store::replica::Replica;
use std::collections::{BTreeMap, BTreeSet};

/// Of a holder's machines, so many must be silent to it: one in this many.
const SILENT_PART: usize = 2;
/// And so many of those must be heard elsewhere.
const HEARD_PART: usize = 4;

pub struct Hearing {
    report: Span,
    /// How long a holder gets no blocks back: what cut it off may last.
    rest: Span,
    /// When a machine last reported to a controller that does not hold it.
    strays: BTreeMap<MachineId, Time>,
    resting: BTreeMap<Member, Time>,
}

impl Hearing {
    pub fn new(config: &Config) -> Self {
        Self {
            report: config.report,
            rest: Span(2 * config.lease.0),
            strays: BTreeMap::new(),
            resting: BTreeMap::new(),
        }
    }

    pub fn on_strays(&mut self, now: Time, machines: Vec<MachineId>) {
        self.strays.extend(machines.into_iter().map(|id| (id, now)));
    }

    /// Holders that get no blocks at present.
    pub fn resting(&self) -> BTreeSet<Member> {
        self.resting.keys().cloned().collect()
    }

    /// Judges all holders by what they said last of their machines.
    pub fn judge<'a>(
        &mut self,
        now: Time,
        blocks: u32,
        health: impl Iterator<Item = &'a MachineHealth>,
        replica: &Replica,
    ) {
        let fresh = Span(2 * self.report.0);
        self.strays.retain(|_, at| now.since(*at) < fresh);
        self.resting.retain(|_, until| now < *until);
        let patience = self.report + Span(self.report.0 / 4 + 1000);
        let mut holders: BTreeMap<&Member, (usize, usize, usize)> = BTreeMap::new();
        for last in health {
            let block: BlockId = last.machine.block(blocks);
            let Some(lease) = replica.blocks.get(&block) else {
                continue;
            };
            if lease.revision != last.fence {
                continue;
            }
            let counts = holders.entry(&lease.value.holder).or_default();
            counts.0 += 1;
            if last.silent >= patience {
                counts.1 += 1;
                counts.2 += usize::from(self.strays.contains_key(&last.machine));
            }
        }
        let others = replica.members.len();
        for (member, (all, silent, heard)) in holders {
            let deaf = silent * SILENT_PART > all && heard * HEARD_PART > silent && heard > 1;
            if deaf && self.resting.len() + 1 < others && !self.resting.contains_key(member) {
                tracing::info!(%member, all, silent, heard, "a holder hears nothing of machines that others hear");
                self.resting.insert(member.clone(), now + self.rest);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::sample_config;
    use crate::ids::{GrantId, Incarnation, Revision};
    use crate::store::keys;
    use crate::store::records::{BlockRecord, MemberRecord};
    use crate::wire::state::Item;

    fn scene() -> (Config, Replica) {
        let config = sample_config();
        let mut replica = Replica::new(&config);
        let mut put = |key: String, value: serde_json::Value| {
            replica.load(Item {
                key,
                value,
                revision: Revision(5),
                grant: None,
            });
        };
        for (n, member) in ["c0", "c1", "c2"].into_iter().enumerate() {
            let record = MemberRecord {
                incarnation: Incarnation(n as u64),
                grant: GrantId(n as u64 + 1),
            };
            let value = serde_json::to_value(&record).expect("json");
            put(keys::member(&member.into()), value);
        }
        for block in 0..config.blocks() {
            let record = BlockRecord {
                holder: format!("c{}", block % 3).as_str().into(),
                incarnation: Incarnation(u64::from(block % 3)),
                term: Revision(5),
            };
            let value = serde_json::to_value(&record).expect("json");
            put(keys::block(BlockId(block)), value);
        }
        (config, replica)
    }

    fn health(n: u32, silent: u64) -> MachineHealth {
        MachineHealth {
            machine: format!("vm-{n:03}").as_str().into(),
            fence: Revision(5),
            silent: Span(silent),
            confirmed: true,
            notice: None,
            unrecorded: None,
            gangs: Vec::new(),
        }
    }

    /// Machine n belongs to block n mod 6, which c(n mod 3) holds.
    #[test]
    fn only_a_holder_whose_silent_machines_others_hear_is_relieved() {
        let (config, replica) = scene();
        let mut hearing = Hearing::new(&config);
        let all: Vec<MachineHealth> = (0..60)
            .map(|n| health(n, if n % 3 == 1 { 9000 } else { 100 }))
            .collect();
        let judge = |hearing: &mut Hearing, now: u64| {
            hearing.judge(Time(now), config.blocks(), all.iter(), &replica);
            hearing.resting()
        };
        assert!(
            judge(&mut hearing, 1000).is_empty(),
            "perhaps a zone is cut off"
        );
        let of = |m: u32| (0..60).filter(move |n| n % 3 == m);
        let named = |m: u32| of(m).map(|n| health(n, 0).machine).collect();
        hearing.on_strays(Time(2000), named(2));
        assert!(judge(&mut hearing, 2100).is_empty(), "those are not silent");
        hearing.on_strays(Time(3000), named(1));
        let deaf: Vec<Member> = judge(&mut hearing, 3100).into_iter().collect();
        assert_eq!(deaf, ["c1".into()]);
        let later = 3100 + 2 * config.lease.0;
        hearing.judge(Time(later), config.blocks(), [].iter(), &replica);
        assert!(hearing.resting().is_empty(), "and tried again later");
    }
}
