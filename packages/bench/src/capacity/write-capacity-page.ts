import { readFileSync, writeFileSync } from 'node:fs'
import { capacityTables } from './capacity-tables.js'
import { replaceTables } from './replace-tables.js'

const PAGE = new URL('../../../../docs/CAPACITY.md', import.meta.url)
const RESULT = new URL('../../../../docs/capacity-result.json', import.meta.url)

const tables = capacityTables(JSON.parse(readFileSync(RESULT, 'utf8')))
writeFileSync(PAGE, replaceTables(readFileSync(PAGE, 'utf8'), tables))
