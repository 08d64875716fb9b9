import type { PromptPart } from '../model/prompt-part.js'

/**
 * Returns the parts of a prompt that requests share: all but the last one, which belongs to the request or its session.
 * @param prompt parts of the prompt
 */
export function sharedParts (prompt: readonly PromptPart[]): readonly PromptPart[] {
  return prompt.slice(0, -1)
}
