import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationParts } from './configuration-parts.js'
import type { EditedConfiguration } from './edited-configuration.js'
import { ProblemList } from './problem-list.js'
import { retirementName } from './retirement-name.js'
import { validateConfiguration } from './validate-configuration.js'

function nameOf (edit: ConfigurationEdit['kind']): string {
  if (edit.case === 'removeRetirement') return retirementName(edit.value)
  return typeof edit.value === 'string' ? edit.value : ''
}

function fieldName (camelCase: string): string {
  return camelCase.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
}

/**
 * Applies edits in order and validates the whole result.
 * @param configuration the configuration to start from; left as it is
 * @param edits the edits
 */
export function applyEdits (configuration: Configuration, edits: readonly ConfigurationEdit[]): EditedConfiguration {
  const problems = new ProblemList()
  let duplicates: EditedConfiguration['problems'] = []
  let parts = new ConfigurationParts(configuration)
  edits.forEach((edit, index) => {
    if (edit.kind.case === 'replaceAll') {
      // Names that stand twice vanish in the maps, so the submitted lists are checked as they are.
      duplicates = validateConfiguration(edit.kind.value)
      parts = new ConfigurationParts(edit.kind.value)
      return
    }
    if (parts.apply(edit.kind)) return
    const field = `edits[${index}].${fieldName(edit.kind.case ?? 'kind')}`
    problems.add(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, field, nameOf(edit.kind), 'an edit of a part that exists')
  })
  const edited = parts.toConfiguration()
  const found = duplicates.length > 0 ? duplicates : validateConfiguration(edited)
  return { configuration: edited, problems: [...problems.problems, ...found] }
}
