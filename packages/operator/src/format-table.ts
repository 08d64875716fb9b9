/**
 * Lays rows out as a table with aligned columns.
 * @param headers names of the columns
 * @param rows cells as texts
 * @returns the lines, each ended by a line feed
 */
export function formatTable (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = headers.map((header, column) => Math.max(header.length, ...rows.map((row) => row[column]?.length ?? 0)))
  const line = (cells: readonly string[]): string =>
    cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd() + '\n'
  return [headers, ...rows].map(line).join('')
}
