//! Digests over ranges: what two directors hold is compared without sending it.
//!
//! The place of a key is a 64-bit hash of it; its first twelve bits name one of 4,096 leaves, sixteen of
//! which make a node above, and so on up to the root. A node's sum is that of its entries' hashes, so it is
//! kept up to date by a few additions for each change, in whatever order changes come.

use crate::policy::estimators::hash::mix;

/// Children of a node.
pub const CHILDREN_PER_NODE: usize = 16;
/// Levels below the root.
pub const TREE_DEPTH: u32 = 3;
/// Ranges at the lowest level.
pub const LEAF_COUNT: usize = CHILDREN_PER_NODE.pow(TREE_DEPTH);

/// A stable hash of bytes (FNV-1a, then mixed).
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, step), bytes.len() as u64)
}

/// The leaf of a place.
pub fn leaf_index(place: u64) -> usize {
    (place >> (64 - 4 * TREE_DEPTH)) as usize
}

/// Sums of all ranges, 35 KB.
#[derive(Clone, Debug)]
pub struct DigestTree {
    /// The root, then its children, and so on, level by level.
    sums: Vec<u64>,
}

/// A node: its level (0: the root) and number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Node {
    /// 0 to [`DEEP`].
    pub level: u8,
    /// From the left.
    pub index: u16,
}

impl Node {
    /// The whole.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Its children, none of a leaf's or of one that can't be.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let some =
            if self.exists() && u32::from(self.level) < TREE_DEPTH { CHILDREN_PER_NODE as u16 } else { 0 };
        (0..some)
            .map(move |n| Node { level: self.level + 1, index: self.index * CHILDREN_PER_NODE as u16 + n })
    }

    /// Whether it is a leaf.
    pub fn is_leaf(self) -> bool {
        u32::from(self.level) == TREE_DEPTH && self.exists()
    }

    /// Whether there is such a node: what came from elsewhere may be anything.
    pub fn exists(self) -> bool {
        u32::from(self.level) <= TREE_DEPTH
            && usize::from(self.index) < CHILDREN_PER_NODE.pow(self.level.into())
    }

    fn place(self) -> usize {
        // 1 + 16 + ... nodes stand before its level.
        (CHILDREN_PER_NODE.pow(self.level.into()) - 1) / (CHILDREN_PER_NODE - 1) + usize::from(self.index)
    }
}

impl Default for DigestTree {
    fn default() -> DigestTree {
        DigestTree { sums: vec![0; (LEAF_COUNT * CHILDREN_PER_NODE - 1) / (CHILDREN_PER_NODE - 1)] }
    }
}

impl DigestTree {
    /// An entry at a place changed from one hash to another; 0 stands for none.
    pub fn replace_entry(&mut self, place: u64, from: u64, to: u64) {
        let by = to.wrapping_sub(from);
        for level in 0..=TREE_DEPTH {
            let number = (leaf_index(place) >> (4 * (TREE_DEPTH - level))) as u16;
            let node = Node { level: level as u8, index: number };
            let sum = &mut self.sums[node.place()];
            *sum = sum.wrapping_add(by);
        }
    }

    /// A node's sum; 0 where there is no such node.
    pub fn sum(&self, node: Node) -> u64 {
        if node.exists() {
            self.sums[node.place()]
        } else {
            0
        }
    }
}
