import type { ClearanceNote } from './clearance-note.js'
import type { CrashNote } from './crash-note.js'

/** A crash or a clearance in the log from which other routers synchronize, with its time by the clock of this router. */
export type QuarantineChange = (Omit<CrashNote, 'ageMs'> | Omit<ClearanceNote, 'ageMs'>) & { readonly at: number }
