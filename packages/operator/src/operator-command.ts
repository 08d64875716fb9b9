import { readFile } from 'node:fs/promises'
import { Command, Option } from 'clipanion'
import { MimosarockError } from '@mimosarock/schema/mimosarock-error.js'
import { ResultCode } from '@mimosarock/schema/result-code.js'
import { createOperatorClient } from './create-operator-client.js'
import { formatErrorLine } from './format-error-line.js'
import type { OperatorClient } from './operator-client.js'

const DEFAULT_ROUTER = 'http://127.0.0.1:7400'

/** Base class of the commands that call a router: connection options and output of results and errors. */
export abstract class OperatorCommand extends Command {
  router = Option.String('--router', process.env['MIMOSAROCK_ROUTER'] ?? DEFAULT_ROUTER, {
    description: 'Base URL of the operator server of any router; default: the value of MIMOSAROCK_ROUTER, or http://127.0.0.1:7400.'
  })

  tokenFile = Option.String('--token-file', {
    description: 'File with the access token of the operator; default: the token in MIMOSAROCK_TOKEN.'
  })

  authorityFile = Option.String('--authority-file', {
    description: 'PEM file with the CA certificates that signed the routers\' certificates.'
  })

  json = Option.Boolean('--json', false, { description: 'Prints the result as JSON.' })

  /**
   * Performs the command.
   * @param client clients of the router's operator services
   * @returns exit code of the process
   */
  protected abstract run (client: OperatorClient): Promise<number>

  /** Runs the command; prints an error as one line and returns exit code 1. */
  override async execute (): Promise<number> {
    try {
      return await this.run(await this._createClient())
    } catch (error) {
      this.context.stderr.write(formatErrorLine(error))
      return 1
    }
  }

  /**
   * Prints a result to standard output, as text or with `--json` as JSON.
   * @param text result as text, with a trailing line feed
   * @param value result to be serialized as JSON
   */
  protected print (text: string, value: unknown): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : text)
  }

  /**
   * Reads a text file named by an option or argument.
   * @param path path of the file
   * @throws {MimosarockError} COMMAND_LINE_INVALID if the file can't be read
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
