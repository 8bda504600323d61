#include "base/counters.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/json_text.h"
#include "base/xmalloc.h"

enum
{
  LABELS_MAX = 4,
  SERIES_MAX_DEFAULT = 1024,
  LABELS_TEXT_SIZE = 512,
};

struct series
{
  struct counter counter;
  struct counter_histogram
      histogram; /* used instead of the counter for histograms */
  char *labels;  /* as exposed, without braces */
  UT_hash_handle hh;
};

struct counter_family
{
  char *name;
  char *help;
  enum counter_kind kind;
  char *label_names[LABELS_MAX];
  uint32_t series_max;
  struct series *series; /* by labels */
  UT_hash_handle hh;
};

struct counters
{
  struct counter_family *families; /* by name */
};

struct counters *
counters_create (void)
{
  return xcalloc (1, sizeof (struct counters));
}

static void
family_destroy (struct counter_family *family)
{
  struct series *series = family->series;
  HASH_CLEAR (hh, family->series);
  while (series != NULL)
    {
      struct series *next = series->hh.next;
      free (series->labels);
      free (series);
      series = next;
    }
  for (int i = 0; i < LABELS_MAX; i++)
    free (family->label_names[i]);
  free (family->help);
  free (family->name);
  free (family);
}

void
counters_destroy (struct counters *counters)
{
  if (counters == NULL)
    return;
  struct counter_family *family = counters->families;
  HASH_CLEAR (hh, counters->families);
  while (family != NULL)
    {
      struct counter_family *next = family->hh.next;
      family_destroy (family);
      family = next;
    }
  free (counters);
}

struct counter_family *
counters_family (struct counters *counters,
                 const struct counter_family_options *options)
{
  struct counter_family *family;
  HASH_FIND_STR (counters->families, options->name, family);
  if (family != NULL)
    return family;
  family = xcalloc (1, sizeof *family);
  family->name = xstrdup (options->name);
  family->help = xstrdup (options->help);
  family->kind = options->kind;
  family->series_max
      = options->series_max ? options->series_max : SERIES_MAX_DEFAULT;
  for (int i = 0; i < LABELS_MAX; i++)
    family->label_names[i] = xstrdup (options->label_names[i]);
  HASH_ADD_KEYPTR (hh, counters->families, family->name, strlen (family->name),
                   family);
  return family;
}

/* Formats the labels of a series into TEXT, which must be empty. */
static void
format_labels (const struct counter_family *family,
               const char *const *label_values, char text[LABELS_TEXT_SIZE])
{
  size_t used = 0;
  for (int i = 0; i < LABELS_MAX && family->label_names[i] != NULL; i++)
    {
      const char *value = label_values == NULL ? "other" : label_values[i];
      const size_t available = LABELS_TEXT_SIZE - used;
      const int length
          = snprintf (text + used, available, "%s%s=", i > 0 ? "," : "",
                      family->label_names[i]);
      if (length < 0 || (size_t)length + 3 > available)
        return;
      used += (size_t)length;
      used += json_text_quote (text + used, LABELS_TEXT_SIZE - used, value);
    }
}

static const double bucket_bounds_s[COUNTER_BUCKETS]
    = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
        0.5,   1,     2,     5,    10,   20,   60 };

static const double US_PER_SECOND = 1e6;

static struct series *
find_series (struct counter_family *family, const char *const *label_values)
{
  char labels[LABELS_TEXT_SIZE] = "";
  format_labels (family, label_values, labels);
  struct series *series;
  HASH_FIND_STR (family->series, labels, series);
  if (series != NULL)
    return series;
  if (label_values != NULL
      && HASH_COUNT (family->series) >= family->series_max)
    return find_series (family, NULL);
  series = xcalloc (1, sizeof *series);
  series->labels = xstrdup (labels);
  HASH_ADD_KEYPTR (hh, family->series, series->labels, strlen (series->labels),
                   series);
  return series;
}

struct counter *
counter_series (struct counter_family *family, const char *const *label_values)
{
  return &find_series (family, label_values)->counter;
}

struct counter_histogram *
counter_histogram_series (struct counter_family *family,
                          const char *const *label_values)
{
  return &find_series (family, label_values)->histogram;
}

void
counter_observe (struct counter_histogram *histogram, int64_t time_us)
{
  size_t bucket = 0;
  if (time_us < 0)
    time_us = 0;
  while (bucket < COUNTER_BUCKETS
         && (double)time_us > bucket_bounds_s[bucket] * US_PER_SECOND)
    bucket++;
  histogram->buckets[bucket]++;
  histogram->count++;
  histogram->sum_us += (uint64_t)time_us;
}

/* Exposes the buckets as cumulative counts: each includes all values up to its
   bound. */
static void
expose_histogram (FILE *out, const struct counter_family *family,
                  const struct series *series)
{
  const struct counter_histogram *histogram = &series->histogram;
  const char *comma = series->labels[0] != '\0' ? "," : "";
  unsigned long long below = 0;
  for (size_t i = 0; i < COUNTER_BUCKETS; i++)
    {
      below += histogram->buckets[i];
      fprintf (out, "%s_bucket{%s%sle=\"%g\"} %llu\n", family->name,
               series->labels, comma, bucket_bounds_s[i], below);
    }
  fprintf (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", family->name,
           series->labels, comma, (unsigned long long)histogram->count);
  fprintf (out, "%s_sum{%s} %.6f\n", family->name, series->labels,
           (double)histogram->sum_us / US_PER_SECOND);
  fprintf (out, "%s_count{%s} %llu\n", family->name, series->labels,
           (unsigned long long)histogram->count);
}

static void
expose_family (FILE *out, const struct counter_family *family)
{
  fprintf (out, "# HELP %s %s\n", family->name, family->help);
  static const char *const kinds[] = { [COUNTER_SUM] = "counter",
                                       [COUNTER_GAUGE] = "gauge",
                                       [COUNTER_HISTOGRAM] = "histogram" };
  fprintf (out, "# TYPE %s %s\n", family->name, kinds[family->kind]);
  for (const struct series *series = family->series; series != NULL;
       series = series->hh.next)
    {
      if (family->kind == COUNTER_HISTOGRAM)
        {
          expose_histogram (out, family, series);
          continue;
        }
      const long long value = (long long)series->counter.value;
      if (series->labels[0] == '\0')
        fprintf (out, "%s %lld\n", family->name, value);
      else
        fprintf (out, "%s{%s} %lld\n", family->name, series->labels, value);
    }
}

char *
counters_expose (const struct counters *counters)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  if (out == NULL)
    return xstrdup ("");
  for (const struct counter_family *family = counters->families;
       family != NULL; family = family->hh.next)
    expose_family (out, family);
  fclose (out);
  return text;
}
