import { create } from '@bufbuild/protobuf'
import type { FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { FieldProblemSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/** Upper bound on the characters of a rejected value that a problem quotes. */
const MAXIMUM_VALUE_LENGTH = 120
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/

/** Collects the validation problems of a configuration, one for each invalid field. */
export class ProblemList {
  private readonly _problems: FieldProblem[] = []

  /** Problems in the order in which they were found. */
  get problems (): readonly FieldProblem[] {
    return this._problems
  }

  /**
   * Adds a problem.
   * @param code kind of problem
   * @param field path of the field, for example `pools[chat].load_multiple`
   * @param value rejected value; quoted up to a length limit
   * @param bound human-readable description of the allowed values
   */
  add (code: ResultCode, field: string, value: unknown, bound: string): void {
    this._problems.push(create(FieldProblemSchema, {
      field,
      value: String(value).slice(0, MAXIMUM_VALUE_LENGTH),
      bound,
      code
    }))
  }

  /**
   * Adds a problem if a number is out of range or NaN.
   * @param field path of the field
   * @param value number to check
   * @param minimum lowest allowed value
   * @param maximum highest allowed value
   */
  checkRange (field: string, value: number, minimum: number, maximum: number): void {
    if (value >= minimum && value <= maximum) return
    this.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, field, value, `${minimum} to ${maximum}`)
  }

  /**
   * Adds a problem if a name has an invalid format.
   * @param field path of the field
   * @param value name to check
   */
  checkName (field: string, value: string): void {
    if (NAME.test(value)) return
    this.add(ResultCode.CONFIGURATION_NAME_INVALID, field, value, '1 to 64 letters, digits, dots, hyphens and underscores, starting with a letter or digit')
  }

  /**
   * Adds a problem if a text is too short or too long.
   * @param field path of the field
   * @param value text to check
   * @param minimum minimum length in characters
   * @param maximum maximum length in characters
   */
  checkLength (field: string, value: string, minimum: number, maximum: number): void {
    if (value.length >= minimum && value.length <= maximum) return
    this.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, field, value, `${minimum} to ${maximum} characters`)
  }

  /**
   * Adds a problem if a value has been used before.
   * @param field path of the field
   * @param value value to check
   * @param usedValues values used before; this value is added to the set
   */
  checkUnique (field: string, value: string, usedValues: Set<string>): void {
    if (usedValues.has(value)) this.add(ResultCode.CONFIGURATION_NAME_TAKEN, field, value, 'a value that occurs only once')
    usedValues.add(value)
  }

  /**
   * Adds a problem if a reference names an item that does not exist.
   * @param field path of the field
   * @param value name that the field refers to
   * @param exists whether the item exists
   * @param kind kind of the item, for the description of the allowed values
   */
  checkReference (field: string, value: string, exists: boolean, kind: string): void {
    if (!exists) this.add(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, field, value, `the name of a configured ${kind}`)
  }
}
