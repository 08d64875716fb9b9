import type { Configuration, ConfigurationEdit } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { ConfigurationItems } from './configuration-items.js'
import type { EditedConfiguration } from './edited-configuration.js'
import { ProblemList } from './problem-list.js'
import { retirementName } from './retirement-name.js'
import { validateConfiguration } from './validate-configuration.js'

function targetName (edit: ConfigurationEdit['kind']): string {
  if (edit.case === 'removeRetirement') return retirementName(edit.value)
  return typeof edit.value === 'string' ? edit.value : ''
}

function toSnakeCase (camelCase: string): string {
  return camelCase.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
}

/**
 * Applies edits in order and validates the resulting configuration.
 * @param configuration configuration to start from; not modified
 * @param edits edits in the order in which they are applied
 * @returns the edited configuration with all problems of the edits and of the result
 */
export function applyEdits (configuration: Configuration, edits: readonly ConfigurationEdit[]): EditedConfiguration {
  const problems = new ProblemList()
  let submittedProblems: EditedConfiguration['problems'] = []
  let items = new ConfigurationItems(configuration)
  edits.forEach((edit, index) => {
    if (edit.kind.case === 'replaceAll') {
      // The maps drop names that occur twice; duplicates can only be found in the submitted lists.
      submittedProblems = validateConfiguration(edit.kind.value)
      items = new ConfigurationItems(edit.kind.value)
      return
    }
    if (items.apply(edit.kind)) return
    const field = `edits[${index}].${toSnakeCase(edit.kind.case ?? 'kind')}`
    problems.add(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, field, targetName(edit.kind), 'an edit that names an existing item')
  })
  const edited = items.toConfiguration()
  const configurationProblems = submittedProblems.length > 0 ? submittedProblems : validateConfiguration(edited)
  return { configuration: edited, problems: [...problems.problems, ...configurationProblems] }
}
