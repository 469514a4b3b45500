/**
 * A pipeline as the configuration means it: a stage must run at most once when it is marked so, and also when a service
 * of its role may not be called twice.
 */
import { clone } from '@bufbuild/protobuf'
import { PipelineSchema, UpstreamKind } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'
import type { Configuration, Pipeline } from '../../../generated/pepperwood/v1/pepperwood_pb.ts'

/** Roles with a service that may not be called twice. */
function listUnrepeatableRoles (configuration: Configuration): ReadonlySet<string> {
  return new Set(configuration.upstreams
    .filter(upstream => upstream.kind === UpstreamKind.SERVICE && !upstream.mayCallTwice)
    .map(upstream => upstream.role))
}

/** The pipeline with the marks of its stages worked out; undefined when there is none of the name. */
export function resolvePipeline (configuration: Configuration, name: string): Pipeline | undefined {
  const pipeline = configuration.pipelines.find(item => item.name === name)
  if (pipeline === undefined) return undefined
  const roles = listUnrepeatableRoles(configuration)
  const resolved = clone(PipelineSchema, pipeline)
  for (const stage of resolved.stages) stage.unrepeatable ||= roles.has(stage.role)
  return resolved
}

/** Pipelines without any stage that must run at most once: their requests may be submitted anew when their home is gone. */
export function listRepeatablePipelines (configuration: Configuration): readonly string[] {
  const roles = listUnrepeatableRoles(configuration)
  return configuration.pipelines
    .filter(pipeline => pipeline.stages.every(stage => !stage.unrepeatable && !roles.has(stage.role)))
    .map(pipeline => pipeline.name)
}
