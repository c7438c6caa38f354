//! Digests over ranges of key hashes (a Merkle tree with additive sums): two directors compare what they hold
//! without sending it.
//!
//! A key's 64-bit hash selects one of 4,096 leaves by its first twelve bits; sixteen leaves have a common
//! parent, and so on up to the root. The sum of a node is that of its entries' hashes, so a change is a few
//! additions, in whatever order changes come.

use crate::policy::estimators::hash::mix;

/// Children of an inner node.
pub const CHILDREN_PER_NODE: usize = 16;
/// Levels below the root.
pub const TREE_DEPTH: u32 = 3;
/// Nodes of the lowest level.
pub const LEAF_COUNT: usize = CHILDREN_PER_NODE.pow(TREE_DEPTH);
/// Bits of a key hash that select the child of a node.
const BITS_PER_LEVEL: u32 = CHILDREN_PER_NODE.trailing_zeros();
/// Nodes of the whole tree.
const NODE_COUNT: usize = (LEAF_COUNT * CHILDREN_PER_NODE - 1) / (CHILDREN_PER_NODE - 1);

/// The initial value of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The multiplier of FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A stable hash of bytes (FNV-1a, then mixed).
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    mix(bytes.iter().fold(FNV_OFFSET_BASIS, step), bytes.len() as u64)
}

/// The index of the leaf that a key hash belongs to.
pub fn leaf_index(key_hash: u64) -> usize {
    (key_hash >> (u64::BITS - BITS_PER_LEVEL * TREE_DEPTH)) as usize
}

/// The sums of all nodes, 35 KB.
#[derive(Clone, Debug)]
pub struct DigestTree {
    /// The root, then its children, and so on, level by level.
    sums: Vec<u64>,
}

/// A node of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Node {
    /// Its level, from 0 (the root) to [`TREE_DEPTH`].
    pub level: u8,
    /// Its index within the level.
    pub index: u16,
}

impl Node {
    /// The root, which covers all key hashes.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Its children; none if it is a leaf or does not exist.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let is_inner = self.exists() && u32::from(self.level) < TREE_DEPTH;
        let count = if is_inner { CHILDREN_PER_NODE as u16 } else { 0 };
        (0..count)
            .map(move |n| Node { level: self.level + 1, index: self.index * CHILDREN_PER_NODE as u16 + n })
    }

    /// Whether it is a leaf.
    pub fn is_leaf(self) -> bool {
        u32::from(self.level) == TREE_DEPTH && self.exists()
    }

    /// Whether there is such a node: one that was received may be invalid.
    pub fn exists(self) -> bool {
        u32::from(self.level) <= TREE_DEPTH
            && usize::from(self.index) < CHILDREN_PER_NODE.pow(self.level.into())
    }

    /// Where its sum is in [`DigestTree::sums`].
    fn offset(self) -> usize {
        let nodes_above = (CHILDREN_PER_NODE.pow(self.level.into()) - 1) / (CHILDREN_PER_NODE - 1);
        nodes_above + usize::from(self.index)
    }
}

/// The part of one entry in the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EntrySum {
    /// The hash of its key.
    pub key_hash: u64,
    /// The hash of its key and value.
    pub sum: u64,
}

/// A node with the sums of its children.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChildSums {
    /// The node.
    pub node: Node,
    /// The sums of its children, in order.
    pub sums: Vec<u64>,
}

impl Default for DigestTree {
    fn default() -> DigestTree {
        DigestTree { sums: vec![0; NODE_COUNT] }
    }
}

impl DigestTree {
    /// Replaces the hash of an entry; 0 stands for no entry.
    pub fn replace_entry(&mut self, key_hash: u64, old: u64, new: u64) {
        let difference = new.wrapping_sub(old);
        for level in 0..=TREE_DEPTH {
            let index = (leaf_index(key_hash) >> (BITS_PER_LEVEL * (TREE_DEPTH - level))) as u16;
            let sum = &mut self.sums[Node { level: level as u8, index }.offset()];
            *sum = sum.wrapping_add(difference);
        }
    }

    /// The sums of a node's children.
    pub fn child_sums(&self, node: Node) -> ChildSums {
        ChildSums { node, sums: node.children().map(|child| self.sum(child)).collect() }
    }

    /// The sum of a node; 0 if it does not exist.
    pub fn sum(&self, node: Node) -> u64 {
        if node.exists() {
            self.sums[node.offset()]
        } else {
            0
        }
    }
}
