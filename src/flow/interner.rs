use hashbrown::HashMap;

use crate::ticket::TargetId;

/// Maps 64-bit target ids to 32-bit indexes, which halves the size of the target in a packed flow.
#[derive(Debug, Clone, Default)]
pub(super) struct Interner {
    targets: Vec<(TargetId, u32)>,
    indexes: HashMap<TargetId, u32>,
    free: Vec<u32>,
}

impl Interner {
    /// Returns the index of `target` and adds a use of the index.
    pub(super) fn acquire(&mut self, target: TargetId) -> u32 {
        if let Some(&index) = self.indexes.get(&target) {
            self.targets[index as usize].1 += 1;
            return index;
        }
        let index = match self.free.pop() {
            Some(index) => {
                self.targets[index as usize] = (target, 1);
                index
            }
            None => {
                self.targets.push((target, 1));
                (self.targets.len() - 1) as u32
            }
        };
        self.indexes.insert(target, index);
        index
    }

    /// Removes a use of an index and frees the index after its last use.
    pub(super) fn release(&mut self, index: u32) {
        let (target, uses) = &mut self.targets[index as usize];
        *uses -= 1;
        if *uses == 0 {
            self.indexes.remove(target);
            self.free.push(index);
        }
    }

    /// Returns the target of an index that is in use.
    pub(super) fn target(&self, index: u32) -> TargetId {
        self.targets[index as usize].0
    }

    /// Returns the number of uses of `target`.
    pub(super) fn uses(&self, target: TargetId) -> u32 {
        self.indexes.get(&target).map_or(0, |&index| self.targets[index as usize].1)
    }
}
