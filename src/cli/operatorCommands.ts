/**
 * `pepperwood dump`, `explain`, `drain` and `watch`: operators' requests to one process.
 */
import { defineCommand } from 'citty'
import { exitCodes } from '../services/program/node/program.ts'
import { createOperatorClient } from '../services/rpc/node/rpcClients.ts'
import { callFirstReachable, gateArgument, jsonArgument, parseAddresses, writeLine } from './commonArgs.ts'

export const dumpCommand = defineCommand({
  meta: { name: 'dump', description: 'Print the complete state of a process as JSON. Example: pepperwood dump --at 10.0.0.1:8000' },
  args: { at: gateArgument },
  async run ({ args }) {
    const answer = await callFirstReachable(parseAddresses(args.at), (address, timeoutMs) => createOperatorClient(address).dump({}, { timeoutMs }))
    writeLine(JSON.stringify(JSON.parse(answer.json), undefined, 2))
    process.exit(exitCodes.ok)
  }
})

export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Show the decisions made for a request, and its costs. Example: pepperwood explain --at 10.0.0.1:8000 SESSION/NUMBER' },
  args: { at: gateArgument, id: { type: 'positional', description: 'The request\'s id', valueHint: 'SESSION/NUMBER', required: true }, json: jsonArgument },
  async run ({ args }) {
    const answer = await callFirstReachable(parseAddresses(args.at), (address, timeoutMs) => createOperatorClient(address).explain({ requestId: args.id }, { timeoutMs }))
    if (answer.problem !== undefined) {
      process.stderr.write(`${answer.problem.code} ${answer.problem.name}: ${answer.problem.message} (found ${answer.problem.value})\n`)
      process.exit(exitCodes.refused)
    }
    const decisions = answer.decisions.map(({ ageMs, kind, choice, reason, inputs }) => ({ ageMs, kind, choice, reason, inputs }))
    const costs = answer.costs.map(({ stage, upstream, busyMs, attempts, elapsedMs }) => ({ stage, upstream, busyMs, attempts, elapsedMs }))
    if (args.json) writeLine(JSON.stringify({ decisions, costs }))
    else {
      for (const item of decisions) writeLine(`${item.ageMs} ms ago  ${item.kind.padEnd(8)} ${item.choice}: ${item.reason}  [${item.inputs}]`)
      for (const cost of costs) writeLine(`cost  ${cost.stage}@${cost.upstream} busy_ms=${cost.busyMs.toFixed(1)} elapsed_ms=${cost.elapsedMs.toFixed(1)} attempts=${cost.attempts}`)
    }
    process.exit(exitCodes.ok)
  }
})

export const drainCommand = defineCommand({
  meta: { name: 'drain', description: 'Start draining a process, or show the progress of the drain. Example: pepperwood drain --at 10.0.0.1:8000' },
  args: { at: gateArgument, json: jsonArgument },
  async run ({ args }) {
    const answer = await callFirstReachable(parseAddresses(args.at), (address, timeoutMs) => createOperatorClient(address).drain({}, { timeoutMs }))
    const { requestsInProgress, sessions } = answer
    writeLine(args.json ? JSON.stringify({ requestsInProgress, sessions }) : `requests_in_progress=${requestsInProgress} sessions=${sessions}`)
    process.exit(exitCodes.ok)
  }
})

export const watchCommand = defineCommand({
  meta: { name: 'watch', description: 'Print the log events of a process as they occur. Example: pepperwood watch --at 10.0.0.1:8000' },
  args: { at: gateArgument, json: jsonArgument },
  async run ({ args }) {
    const [address = ''] = parseAddresses(args.at)
    try {
      for await (const { name, line } of createOperatorClient(address).watchEvents({})) writeLine(args.json ? JSON.stringify({ name, line }) : line)
      process.exit(exitCodes.ok)
    } catch (thrown) {
      process.stderr.write(`${address}: ${thrown instanceof Error ? thrown.message : String(thrown)}\n`)
      process.exit(exitCodes.unreachable)
    }
  }
})
