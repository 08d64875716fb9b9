import { create } from '@bufbuild/protobuf'
import type { FieldProblem } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { FieldProblemSchema } from '@mimosarock/schema/gen/mimosarock/v1/mimosarock_pb.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'

/** Longest part of a refused value that a problem repeats. */
const MAXIMUM_VALUE_LENGTH = 120
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/

/** Collects what is wrong with a configuration, field by field. */
export class ProblemList {
  private readonly _problems: FieldProblem[] = []

  /** The problems in the order in which they were found. */
  get problems (): readonly FieldProblem[] {
    return this._problems
  }

  /**
   * Adds a problem.
   * @param code what kind of problem
   * @param field path of the field, for example `pools[chat].load_multiple`
   * @param value the refused value
   * @param bound what is allowed, for people
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
   * Checks a number against its bounds.
   * @param field path of the field
   * @param value the number
   * @param minimum lowest allowed value
   * @param maximum highest allowed value
   */
  checkRange (field: string, value: number, minimum: number, maximum: number): void {
    if (value >= minimum && value <= maximum) return
    this.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, field, value, `${minimum} to ${maximum}`)
  }

  /**
   * Checks a name's form.
   * @param field path of the field
   * @param value the name
   */
  checkName (field: string, value: string): void {
    if (NAME.test(value)) return
    this.add(ResultCode.CONFIGURATION_NAME_INVALID, field, value, '1 to 64 letters, digits, dots, hyphens and underscores, first a letter or digit')
  }

  /**
   * Checks that a text is there and not too long.
   * @param field path of the field
   * @param value the text
   * @param minimum fewest characters
   * @param maximum most characters
   */
  checkLength (field: string, value: string, minimum: number, maximum: number): void {
    if (value.length >= minimum && value.length <= maximum) return
    this.add(ResultCode.CONFIGURATION_VALUE_OUT_OF_BOUNDS, field, value, `${minimum} to ${maximum} characters`)
  }

  /**
   * Checks that a value has not been used before.
   * @param field path of the field
   * @param value the value
   * @param taken values used so far; the value is added
   */
  checkUnique (field: string, value: string, taken: Set<string>): void {
    if (taken.has(value)) this.add(ResultCode.CONFIGURATION_NAME_TAKEN, field, value, 'used once')
    taken.add(value)
  }

  /**
   * Checks that a reference names something that exists.
   * @param field path of the field
   * @param value the reference
   * @param exists whether it does
   * @param kind what it must name
   */
  checkReference (field: string, value: string, exists: boolean, kind: string): void {
    if (!exists) this.add(ResultCode.CONFIGURATION_REFERENCE_UNKNOWN, field, value, `the name of a configured ${kind}`)
  }
}
