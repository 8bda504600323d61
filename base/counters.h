/** @file
 * Counters, gauges and histograms of a host, and their text exposition.
 *
 * A family has a name, a help line and up to four label names; a series is a
 * family with label values.  Series are looked up once and then counted by
 * pointer.  The number of series a family may hold is bounded: past the
 * bound, all further ones share one series labelled "other", so that a name
 * chosen by a caller can't grow memory.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

struct counters;
struct counter_family;

/** One value; add to it with counter_add() or set it as a gauge. */
struct counter
{
  int64_t value;
};

/** Upper bounds of a histogram's buckets, in seconds; one more takes the
 * rest. */
enum
{
  COUNTER_BUCKETS = 15
};

/** How often a time fell into each bucket. */
struct counter_histogram
{
  uint64_t buckets[COUNTER_BUCKETS + 1];
  uint64_t count;
  uint64_t sum_us;
};

enum counter_kind
{
  COUNTER_SUM,      /**< only grows */
  COUNTER_GAUGE,    /**< goes up and down */
  COUNTER_HISTOGRAM /**< of times; see counter_histogram_series() */
};

/** What a family is; label names may be left NULL from the end. */
struct counter_family_options
{
  const char *name; /**< as exposed, with its unit: "jaystair_..._total" */
  const char *help;
  enum counter_kind kind;
  const char *label_names[4];
  uint32_t series_max; /**< 0 means 1,024 */
};

struct counters *counters_create (void);
void counters_destroy (struct counters *counters);

/** Add a family, or find the one of that name. */
struct counter_family *
counters_family (struct counters *counters,
                 const struct counter_family_options *options);

/** The series of FAMILY with these label values (as many as label names);
 * the pointer stays good as long as COUNTERS. */
struct counter *counter_series (struct counter_family *family,
                                const char *const *label_values);

/** The series of FAMILY, a histogram, with these label values. */
struct counter_histogram *
counter_histogram_series (struct counter_family *family,
                          const char *const *label_values);

/** Count a time. */
void counter_observe (struct counter_histogram *histogram, int64_t time_us);

static inline void
counter_add (struct counter *counter, int64_t amount)
{
  counter->value += amount;
}

static inline void
counter_set (struct counter *counter, int64_t value)
{
  counter->value = value;
}

/** All series in the usual text exposition format, in new memory. */
char *counters_expose (const struct counters *counters);

#endif
