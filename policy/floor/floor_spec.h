/** @file
 * What the floor authority needs to know of a service.
 */
#ifndef POLICY_FLOOR_FLOOR_SPEC_H
#define POLICY_FLOOR_FLOOR_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOOR_NAME_SIZE 64

/** A target and what it counts towards the floor. */
struct floor_target
{
  char name[FLOOR_NAME_SIZE];
  uint32_t capacity;
  bool active; /**< false: drained or leaving, counts as no capacity */
};

/** The service by one version of its settings. */
struct floor_spec
{
  uint64_t version;
  uint32_t floor_capacity; /**< healthy capacity to keep */
  bool paused;             /**< no automatic ejection */
  struct floor_target *targets;
  size_t count;
  bool is_sorted; /**< targets are in the order of their names */
};

/** Capacity of all active targets. */
uint64_t floor_spec_capacity (const struct floor_spec *spec);

/** What target NAME counts now: 0 when unknown, drained or leaving. */
uint32_t floor_spec_capacity_of (const struct floor_spec *spec,
                                 const char *name);

/** Is there a target NAME that is active? */
bool floor_spec_active (const struct floor_spec *spec, const char *name);

/** Is there a target NAME, active or not? */
bool floor_spec_has (const struct floor_spec *spec, const char *name);

/** Make *TO a copy of FROM with its targets sorted, so that they are found by
 * halves, releasing what it held. */
void floor_spec_assign (struct floor_spec *to, const struct floor_spec *from);

/** Release what SPEC holds. */
void floor_spec_clear (struct floor_spec *spec);

#endif
