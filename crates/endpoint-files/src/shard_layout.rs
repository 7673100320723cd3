//! The placement of shards on cells.

/// The placement of shards on cells: shard `s` is held by `cells_per_shard` consecutive cells from `s mod cells` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLayout {
    /// Number of cells; they are numbered from 0.
    pub cells: u32,
    /// Number of cells that hold each shard.
    pub cells_per_shard: u32,
    /// Number of shards; they are numbered from 0.
    pub shards: u32,
}

impl ShardLayout {
    /// Iterates over the numbers of the cells that hold a shard.
    pub fn holders(&self, shard: u32) -> impl Iterator<Item = u32> + '_ {
        let cells = self.cells.max(1);
        (0..self.cells_per_shard.min(cells))
            .map(move |step| ((u64::from(shard) + u64::from(step)) % u64::from(cells)) as u32)
    }
}
