//! Digests over ranges of key hashes (a Merkle tree with additive sums), by which two directors compare their
//! entries without sending them.
//!
//! The first twelve bits of a key's 64-bit hash select one of 4,096 leaves. Sixteen nodes share a parent on
//! each level up to the root. The sum of a node is the sum of its entries' hashes, so a change takes one
//! addition per level, and the order of changes does not matter.

use crate::policy::estimators::hash::mix;

/// Number of children of an inner node.
pub const CHILDREN_PER_NODE: usize = 16;
/// Number of levels below the root.
pub const TREE_DEPTH: u32 = 3;
/// Number of leaves.
pub const LEAF_COUNT: usize = CHILDREN_PER_NODE.pow(TREE_DEPTH);
/// Number of bits of a key hash that select one child of a node.
const BITS_PER_LEVEL: u32 = CHILDREN_PER_NODE.trailing_zeros();
/// Number of nodes of the whole tree.
const NODE_COUNT: usize = (LEAF_COUNT * CHILDREN_PER_NODE - 1) / (CHILDREN_PER_NODE - 1);

/// The initial value of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The multiplier of FNV-1a.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Computes a hash that is the same in every process and version (FNV-1a, then mixed).
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    mix(bytes.iter().fold(FNV_OFFSET_BASIS, step), bytes.len() as u64)
}

/// Returns the index of the leaf that covers a key hash.
pub fn leaf_index(key_hash: u64) -> usize {
    (key_hash >> (u64::BITS - BITS_PER_LEVEL * TREE_DEPTH)) as usize
}

/// A tree of sums over all entries of a director; takes 35 KB.
#[derive(Clone, Debug)]
pub struct DigestTree {
    /// The sums of all nodes, level by level from the root.
    sums: Vec<u64>,
}

/// A node of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Node {
    /// The level, from 0 (the root) to [`TREE_DEPTH`] (the leaves).
    pub level: u8,
    /// The index within the level, from 0.
    pub index: u16,
}

impl Node {
    /// The root, which covers all key hashes.
    pub const ROOT: Node = Node { level: 0, index: 0 };

    /// Iterates over the children of the node. Leaves and nodes that don't exist have none.
    pub fn children(self) -> impl Iterator<Item = Node> {
        let is_inner = self.exists() && u32::from(self.level) < TREE_DEPTH;
        let count = if is_inner { CHILDREN_PER_NODE as u16 } else { 0 };
        (0..count)
            .map(move |n| Node { level: self.level + 1, index: self.index * CHILDREN_PER_NODE as u16 + n })
    }

    /// Returns whether the node is a leaf of the tree.
    pub fn is_leaf(self) -> bool {
        u32::from(self.level) == TREE_DEPTH && self.exists()
    }

    /// Returns whether the level and index are within the tree. Those of a received node may be invalid.
    pub fn exists(self) -> bool {
        u32::from(self.level) <= TREE_DEPTH
            && usize::from(self.index) < CHILDREN_PER_NODE.pow(self.level.into())
    }

    /// Returns the index of the node's sum in [`DigestTree::sums`].
    fn offset(self) -> usize {
        let nodes_above = (CHILDREN_PER_NODE.pow(self.level.into()) - 1) / (CHILDREN_PER_NODE - 1);
        nodes_above + usize::from(self.index)
    }
}

/// The hashes of one entry in the digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EntrySum {
    /// The hash of the entry's key, which selects its leaf.
    pub key_hash: u64,
    /// The hash of the entry's key and value, which is added to the sums of its nodes.
    pub sum: u64,
}

/// A node with the sums of its children.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChildSums {
    /// The parent of the children that `sums` describes.
    pub node: Node,
    /// The sums of the children, in the order of their indices.
    pub sums: Vec<u64>,
}

impl Default for DigestTree {
    fn default() -> DigestTree {
        DigestTree { sums: vec![0; NODE_COUNT] }
    }
}

impl DigestTree {
    /// Replaces the hash of an entry; 0 means "no entry".
    pub fn replace_entry(&mut self, key_hash: u64, old: u64, new: u64) {
        let difference = new.wrapping_sub(old);
        for level in 0..=TREE_DEPTH {
            let index = (leaf_index(key_hash) >> (BITS_PER_LEVEL * (TREE_DEPTH - level))) as u16;
            let sum = &mut self.sums[Node { level: level as u8, index }.offset()];
            *sum = sum.wrapping_add(difference);
        }
    }

    /// Returns a node with the sums of its children.
    pub fn child_sums(&self, node: Node) -> ChildSums {
        ChildSums { node, sums: node.children().map(|child| self.sum(child)).collect() }
    }

    /// Returns the sum of a node, or 0 if it does not exist.
    pub fn sum(&self, node: Node) -> u64 {
        if node.exists() {
            self.sums[node.offset()]
        } else {
            0
        }
    }
}
