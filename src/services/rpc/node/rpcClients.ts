/**
 * Creates Connect clients of the services in the protobuf schema, for the command line and the load tests.
 */
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { STRICT_PARSING } from '../../../base/node/httpParsing.ts'
import { OperatorService, RequestService } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

function createTransport (address: string) {
  return createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '1.1', nodeOptions: STRICT_PARSING })
}

export function createOperatorClient (address: string): Client<typeof OperatorService> {
  return createClient(OperatorService, createTransport(address))
}

export function createRequestClient (address: string): Client<typeof RequestService> {
  return createClient(RequestService, createTransport(address))
}
