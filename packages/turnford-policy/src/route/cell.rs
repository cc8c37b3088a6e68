//! Cells: a service's targets in groups, each used by one node for all.

use super::TargetSpec;

/// Targets in one cell: what a small VM can gather for beside its requests.
const CELL_SIZE: usize = 8;

/// Splits targets into cells, hall by hall, so that a cell's targets are near each other. Nodes
/// that know the same targets split them alike.
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

/// Returns the cell that holds most targets of a hall, `None` if none does.
pub fn cell_of_hall(cells: &[Vec<TargetSpec>], hall: &str) -> Option<usize> {
    let counts = cells.iter().map(|cell| {
        let near = cell.iter().filter(|target| &*target.hall == hall);
        near.count()
    });
    let best = counts.enumerate().max_by_key(|(_, count)| *count);
    best.filter(|(_, count)| *count > 0).map(|(cell, _)| cell)
}
