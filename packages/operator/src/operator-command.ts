import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createOperatorClient } from './create-operator-client.js'
import { errorLine } from './error-line.js'
import type { OperatorClient } from './operator-client.js'

const DEFAULT_ROUTER = 'http://127.0.0.1:7400'

/** What all commands share: how to reach a router, and how results and errors are printed. */
export abstract class OperatorCommand extends Command {
  router = Option.String('--router', process.env['MIMOSAROCK_ROUTER'] ?? DEFAULT_ROUTER, {
    description: 'Base URL of any router\'s operators\' address; default from MIMOSAROCK_ROUTER.'
  })

  tokenFile = Option.String('--token-file', {
    description: 'File with the operator\'s token; without it, MIMOSAROCK_TOKEN.'
  })

  authorityFile = Option.String('--authority-file', {
    description: 'PEM file of the authorities that sign the routers\' certificates.'
  })

  json = Option.Boolean('--json', false, { description: 'Prints JSON for scripts.' })

  /**
   * Does the command's work.
   * @param client clients of the router's services
   * @returns exit code
   */
  protected abstract run (client: OperatorClient): Promise<number>

  /** Runs the command and prints its error, if any, as one line. */
  override async execute (): Promise<number> {
    try {
      return await this.run(await this._createClient())
    } catch (error) {
      this.context.stderr.write(errorLine(error))
      return 1
    }
  }

  /**
   * Prints a result.
   * @param text for people
   * @param value for scripts
   */
  protected print (text: string, value: unknown): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : text)
  }

  /**
   * Reads a file that an option or argument names.
   * @param path the file
   * @throws {MimosarockError} COMMAND_LINE_INVALID
   */
  protected async readFile (path: string): Promise<string> {
    try {
      return await readFile(path, 'utf8')
    } catch (cause) {
      throw new MimosarockError(ResultCode.COMMAND_LINE_INVALID, `file ${path} can't be read`, { field: path, cause })
    }
  }

  private async _createClient (): Promise<OperatorClient> {
    const token = this.tokenFile === undefined
      ? process.env['MIMOSAROCK_TOKEN']
      : (await this.readFile(this.tokenFile)).trim()
    const authorities = this.authorityFile === undefined ? undefined : await this.readFile(this.authorityFile)
    return createOperatorClient({
      url: this.router,
      ...(token !== undefined && { token }),
      ...(authorities !== undefined && { authorities })
    })
  }
}
