const START = '<!-- tables: npm run docs:capacity -->'
const END = '<!-- end of tables -->'

/**
 * Replaces the text between the table markers of a page.
 * @param page text of the page
 * @param tables text to insert
 * @returns the new text of the page
 * @throws {Error} if the page lacks a marker
 */
export function replaceTables (page: string, tables: string): string {
  const start = page.indexOf(START)
  const end = page.indexOf(END)
  if (start < 0 || end < start) throw new Error('the page has no table markers, or they are in the wrong order')
  return `${page.slice(0, start + START.length)}\n${tables}\n${page.slice(end)}`
}
