//! Cells: groups of a service's targets. One node batches the calls of all nodes to a cell.

use super::TargetSpec;

/// Number of targets in a cell, limited by what a small VM can batch for in addition to its
/// requests.
const CELL_SIZE: usize = 8;

/// Splits targets into cells, ordered by hall so that the targets of a cell are close to each
/// other. Nodes that know the same targets get the same cells.
pub fn split_cells(targets: &[TargetSpec]) -> Vec<Vec<TargetSpec>> {
    let mut sorted: Vec<&TargetSpec> = targets.iter().collect();
    sorted.sort_by_key(|target| (target.hall.clone(), target.id.clone()));
    let count = sorted.len().div_ceil(CELL_SIZE).max(1);
    let mut cells = vec![Vec::new(); count];
    for (number, target) in sorted.iter().enumerate() {
        cells[number * count / sorted.len()].push((*target).clone());
    }
    cells
}

/// Returns the cell with the most targets in a hall. Returns `None` if no cell has any.
pub fn cell_of_hall(cells: &[Vec<TargetSpec>], hall: &str) -> Option<usize> {
    let counts = cells.iter().map(|cell| {
        let local = cell.iter().filter(|target| &*target.hall == hall);
        local.count()
    });
    let best = counts.enumerate().max_by_key(|(_, count)| *count);
    best.filter(|(_, count)| *count > 0).map(|(cell, _)| cell)
}
