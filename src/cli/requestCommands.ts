/**
 * `pepperwood locate` and `pepperwood submit`: callers' requests from a shell.
 */
import { readFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { PepperwoodClient } from '../client/pepperwoodClient.ts'
import { exitCodes } from '../services/program/node/program.ts'
import { createRequestClient } from '../services/rpc/node/rpcClients.ts'
import { callFirstReachable, gateArgument, jsonArgument, parseAddresses, parsePositiveNumber, writeLine } from './commonArgs.ts'

const DEFAULT_DEADLINE_MS = '4000'

export const locateCommand = defineCommand({
  meta: { name: 'locate', description: 'List the gates to use for a customer. Example: pepperwood locate --at 10.0.0.1:8000 --customer northgate' },
  args: { at: gateArgument, customer: { type: 'string', description: 'The customer', default: '' }, json: jsonArgument },
  async run ({ args }) {
    const answer = await callFirstReachable(parseAddresses(args.at), (address, timeoutMs) => createRequestClient(address).locate({ customer: args.customer }, { timeoutMs }))
    const gates = answer.gates.map(({ address, hall, keepMs }) => ({ address, hall, keepMs }))
    if (args.json) writeLine(JSON.stringify({ gates, epoch: answer.configuration?.epoch, version: answer.configuration?.version }))
    else for (const gate of gates) writeLine(`${gate.address} hall=${gate.hall} keep_ms=${gate.keepMs}`)
    process.exit(gates.length > 0 ? exitCodes.ok : exitCodes.refused)
  }
})

export const submitCommand = defineCommand({
  meta: { name: 'submit', description: 'Submit a request and stream its answer. Example: echo "tokens=20" | pepperwood submit --customer northgate --pipeline bench-question' },
  args: {
    at: gateArgument,
    customer: { type: 'string', description: 'The customer', required: true },
    key: { type: 'string', description: 'The customer\'s key; prefer the environment variable PEPPERWOOD_KEY', default: '' },
    pipeline: { type: 'string', description: 'The pipeline', required: true },
    input: { type: 'string', description: 'The input; read from stdin if omitted' },
    deadline: { type: 'string', description: 'Deadline for the complete answer, in milliseconds', default: DEFAULT_DEADLINE_MS },
    unrepeatable: { type: 'boolean', description: 'Run at most once', default: false },
    json: jsonArgument
  },
  async run ({ args }) {
    const client = new PepperwoodClient({
      entries: parseAddresses(args.at),
      customer: args.customer,
      key: args.key === '' ? process.env.PEPPERWOOD_KEY ?? '' : args.key
    })
    const result = await client.submit({
      pipeline: args.pipeline,
      input: args.input ?? readFileSync(0, 'utf8'),
      deadlineMs: parsePositiveNumber(args.deadline, '--deadline'),
      unrepeatable: args.unrepeatable,
      onText: text => { if (!args.json) process.stdout.write(text) },
      onRestart: () => { if (!args.json) process.stderr.write('\nrequest submitted again: discard the text received so far\n') }
    })
    client.dispose()
    result.caseOf({
      Left: error => {
        const ran = error.costs.map(cost => `${cost.stage}@${cost.upstream} attempts=${cost.attempts}`)
        if (args.json) writeLine(JSON.stringify({ error: { code: error.code, name: error.resultName, message: error.message, place: error.place, execution: error.execution, retryAfterMs: error.retryAfterMs, ran } }))
        process.stderr.write(`${error.toString()}\n${ran.map(line => `  ran: ${line}\n`).join('')}`)
        process.exit(error.resultName === 'upstreamUnreachable' ? exitCodes.unreachable : exitCodes.refused)
      },
      Right: answer => {
        const costs = answer.costs.map(({ stage, upstream, busyMs, attempts }) => ({ stage, upstream, busyMs, attempts }))
        if (args.json) writeLine(JSON.stringify({ ...answer, costs }))
        else process.stderr.write(`\n${answer.requestId} ${answer.chunkCount} chunks in ${Math.round(answer.elapsedMs)} ms\n${costs.map(cost => `  ${cost.stage}@${cost.upstream} busy_ms=${cost.busyMs.toFixed(1)} attempts=${cost.attempts}\n`).join('')}`)
        process.exit(exitCodes.ok)
      }
    })
  }
})
