import { Builtins, Cli } from 'clipanion'
import { ApplyConfigurationCommand } from './commands/apply-configuration-command.js'
import { CompareRevisionsCommand } from './commands/compare-revisions-command.js'
import { HelpCommand } from './commands/help-command.js'
import { ListAuditCommand } from './commands/list-audit-command.js'
import { ListOperationsCommand } from './commands/list-operations-command.js'
import { ListPartsCommand } from './commands/list-parts-command.js'
import { ListRevisionsCommand } from './commands/list-revisions-command.js'
import { RecoverConfigurationCommand } from './commands/recover-configuration-command.js'
import { RemoveEndpointCommand } from './commands/remove-endpoint-command.js'
import { RemovePartCommand } from './commands/remove-part-command.js'
import { RollBackConfigurationCommand } from './commands/roll-back-configuration-command.js'
import { SetEndpointCommand } from './commands/set-endpoint-command.js'
import { SetPoolCommand } from './commands/set-pool-command.js'
import { SetRetirementRuleCommand } from './commands/set-retirement-rule-command.js'
import { SetRouteCommand } from './commands/set-route-command.js'
import { SetWorkspaceCommand } from './commands/set-workspace-command.js'
import { SettleOperationCommand } from './commands/settle-operation-command.js'
import { ShowConfigurationCommand } from './commands/show-configuration-command.js'
import { ShowFleetCommand } from './commands/show-fleet-command.js'
import { ShowKnowledgeCommand } from './commands/show-knowledge-command.js'
import { ShowOperationCommand } from './commands/show-operation-command.js'
import { ShowPartCommand } from './commands/show-part-command.js'
import { StartRetirementCommand } from './commands/start-retirement-command.js'
import { WaitForRevisionCommand } from './commands/wait-for-revision-command.js'

const VERSION = '0.1.0'

/** Creates the command line interface of the binary `mimosarock`. */
export function createOperatorCli (): Cli {
  const cli = new Cli({ binaryLabel: 'mimosarock operator client', binaryName: 'mimosarock', binaryVersion: VERSION })
  const commands = [
    ApplyConfigurationCommand, CompareRevisionsCommand, ListAuditCommand, ListOperationsCommand,
    ListPartsCommand, ListRevisionsCommand, RecoverConfigurationCommand, RemoveEndpointCommand,
    RemovePartCommand, RollBackConfigurationCommand, SetEndpointCommand, SetPoolCommand,
    SetRetirementRuleCommand, SetRouteCommand, SetWorkspaceCommand, SettleOperationCommand,
    ShowConfigurationCommand, ShowFleetCommand, ShowKnowledgeCommand, ShowOperationCommand, ShowPartCommand,
    StartRetirementCommand, WaitForRevisionCommand
  ]
  for (const command of commands) cli.register(command)
  cli.register(HelpCommand)
  cli.register(Builtins.VersionCommand)
  return cli
}
