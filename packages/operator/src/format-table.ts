/**
 * Formats rows as a text table with aligned columns.
 * @param headers column headers
 * @param rows cells of each row, in the order of the headers
 * @returns the lines, each with a trailing line feed
 */
export function formatTable (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const widths = headers.map((header, column) => Math.max(header.length, ...rows.map((row) => row[column]?.length ?? 0)))
  const formatLine = (cells: readonly string[]): string =>
    cells.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd() + '\n'
  return [headers, ...rows].map(formatLine).join('')
}
