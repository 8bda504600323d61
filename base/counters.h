/** @file
 * Counters, gauges and histograms of a host, exposed as text.
 *
 * A family has a name, a help line and up to four label names; a series is a
 * family with label values.  A series is looked up once and then updated
 * through its pointer.  The number of series of a family is limited: beyond
 * the limit, all further ones share a series labelled "other", so that names
 * chosen by callers can't grow memory without limit.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

struct counters;
struct counter_family;

/** A counter for counter_add(), or a gauge for counter_set(). */
struct counter
{
  int64_t value;
};

/** Number of histogram buckets with an upper bound; one more bucket takes
 * larger values. */
enum
{
  COUNTER_BUCKETS = 15
};

/** Histogram of durations. */
struct counter_histogram
{
  uint64_t buckets[COUNTER_BUCKETS + 1];
  uint64_t count;
  uint64_t sum_us;
};

enum counter_kind
{
  COUNTER_SUM,      /**< monotonically increasing */
  COUNTER_GAUGE,    /**< may increase and decrease */
  COUNTER_HISTOGRAM /**< of durations; see counter_histogram_series() */
};

/** Definition of a family.  Unused label names at the end are NULL. */
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

/** Find the family of this name, or add it. */
struct counter_family *
counters_family (struct counters *counters,
                 const struct counter_family_options *options);

/** Find or add the series of FAMILY with these label values, one per label
 * name.  The pointer is valid as long as the counters exist. */
struct counter *counter_series (struct counter_family *family,
                                const char *const *label_values);

/** Same as counter_series(), for a FAMILY of histograms. */
struct counter_histogram *
counter_histogram_series (struct counter_family *family,
                          const char *const *label_values);

/** Add a duration to HISTOGRAM. */
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

/** Format all series in the Prometheus text exposition format, in new
 * memory. */
char *counters_expose (const struct counters *counters);

#endif
