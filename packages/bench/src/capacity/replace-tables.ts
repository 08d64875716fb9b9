const START = '<!-- tables: npm run docs:capacity -->'
const END = '<!-- end of tables -->'

/**
 * Puts tables between the page's markers.
 * @param page text of the page
 * @param tables text of the tables
 */
export function replaceTables (page: string, tables: string): string {
  const start = page.indexOf(START)
  const end = page.indexOf(END)
  if (start < 0 || end < start) throw new Error('the page has no markers for tables')
  return `${page.slice(0, start + START.length)}\n${tables}\n${page.slice(end)}`
}
