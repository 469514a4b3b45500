/**
 * Resolves which stages of a pipeline must run at most once: those marked as unrepeatable, and those with a role for
 * which at least one service may not be called twice.
 */
import { clone } from '@bufbuild/protobuf'
import { PipelineSchema, UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration, Pipeline } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

/** Returns the roles that have at least one service that may not be called twice. */
function listUnrepeatableRoles (configuration: Configuration): ReadonlySet<string> {
  return new Set(configuration.upstreams
    .filter(upstream => upstream.kind === UpstreamKind.SERVICE && !upstream.mayCallTwice)
    .map(upstream => upstream.role))
}

/** Returns a copy of the pipeline in which `unrepeatable` is set on every stage that must run at most once; undefined if no pipeline has the name. */
export function resolvePipeline (configuration: Configuration, name: string): Pipeline | undefined {
  const pipeline = configuration.pipelines.find(item => item.name === name)
  if (pipeline === undefined) return undefined
  const roles = listUnrepeatableRoles(configuration)
  const resolved = clone(PipelineSchema, pipeline)
  for (const stage of resolved.stages) stage.unrepeatable ||= roles.has(stage.role)
  return resolved
}

/** Returns the pipelines without any stage that must run at most once. Their requests may be submitted again if their home gate is gone. */
export function listRepeatablePipelines (configuration: Configuration): readonly string[] {
  const roles = listUnrepeatableRoles(configuration)
  return configuration.pipelines
    .filter(pipeline => pipeline.stages.every(stage => !stage.unrepeatable && !roles.has(stage.role)))
    .map(pipeline => pipeline.name)
}
