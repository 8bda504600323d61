/** @file
 * The settings of a service that the floor depends on.
 */
#ifndef POLICY_FLOOR_FLOOR_SPEC_H
#define POLICY_FLOOR_FLOOR_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FLOOR_NAME_SIZE 64

/** A target and its capacity towards the floor. */
struct floor_target
{
  char name[FLOOR_NAME_SIZE];
  uint32_t capacity;
  bool active; /**< false: drained or leaving, counts as no capacity */
};

/** One version of the settings of a service. */
struct floor_spec
{
  uint64_t version;
  uint32_t floor_capacity; /**< capacity to keep in service */
  bool paused;             /**< automatic ejection is paused */
  struct floor_target *targets;
  size_t count;
  bool is_sorted; /**< targets are sorted by name */
};

/** Returns the capacity of all active targets. */
uint64_t floor_spec_capacity (const struct floor_spec *spec);

/** Returns the capacity of target NAME: 0 if unknown, drained or leaving. */
uint32_t floor_spec_capacity_of (const struct floor_spec *spec,
                                 const char *name);

/** Returns whether target NAME exists and is active. */
bool floor_spec_active (const struct floor_spec *spec, const char *name);

/** Returns whether target NAME exists, active or not. */
bool floor_spec_has (const struct floor_spec *spec, const char *name);

/** Releases *TO and makes it a copy of FROM with its targets sorted for binary
 * search. */
void floor_spec_assign (struct floor_spec *to, const struct floor_spec *from);

/** Releases the memory of SPEC. */
void floor_spec_clear (struct floor_spec *spec);

#endif
