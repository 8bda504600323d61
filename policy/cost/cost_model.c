#include "policy/cost/cost_model.h"

#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"

enum
{
  /* Twice the number of keys, so that chains stay short. */
  BUCKETS = 2 * COST_MODEL_KEYS_MAX,
  NONE = UINT16_MAX,
};

/* Weight of the mean that a key starts from.  The spread of work is about
   half of its mean, so two samples say as much as the mean of the route. */
static const double initial_weight = 2;

/* Some requests take several times as long as all others of their class.  One
   such sample must not dominate the mean of a key that has few samples. */
static const double max_sample_ratio = 4;

struct cost_entry
{
  uint64_t key;
  double mean_us;
  double weight; /* of the samples in the mean, at `updated_us` */
  int64_t updated_us;
  uint16_t chain; /* next entry of the bucket */
  uint16_t newer; /* neighbours in the order of use */
  uint16_t older;
};

struct cost_model
{
  struct cost_entry entries[COST_MODEL_KEYS_MAX];
  uint16_t buckets[BUCKETS];
  uint16_t newest;
  uint16_t oldest;
  uint16_t count;
  struct work_distribution distribution;
};

struct cost_model *
cost_model_create (void)
{
  struct cost_model *model = xcalloc (1, sizeof *model);
  for (int i = 0; i < BUCKETS; i++)
    model->buckets[i] = NONE;
  model->newest = NONE;
  model->oldest = NONE;
  work_distribution_init (&model->distribution);
  return model;
}

void
cost_model_destroy (struct cost_model *model)
{
  free (model);
}

static uint16_t *
bucket_of (struct cost_model *model, uint64_t key)
{
  return &model->buckets[(key ^ (key >> 32)) % BUCKETS];
}

static uint16_t
find (const struct cost_model *model, uint64_t key)
{
  uint16_t at = model->buckets[(key ^ (key >> 32)) % BUCKETS];
  while (at != NONE && model->entries[at].key != key)
    at = model->entries[at].chain;
  return at;
}

static void
unlink_use (struct cost_model *model, uint16_t at)
{
  const struct cost_entry *e = &model->entries[at];
  if (e->newer != NONE)
    model->entries[e->newer].older = e->older;
  else
    model->newest = e->older;
  if (e->older != NONE)
    model->entries[e->older].newer = e->newer;
  else
    model->oldest = e->newer;
}

static void
link_newest (struct cost_model *model, uint16_t at)
{
  struct cost_entry *e = &model->entries[at];
  e->newer = NONE;
  e->older = model->newest;
  if (model->newest != NONE)
    model->entries[model->newest].newer = at;
  else
    model->oldest = at;
  model->newest = at;
}

/* Returns the index of the least recently used entry, which is removed. */
static uint16_t
evict (struct cost_model *model)
{
  const uint16_t at = model->oldest;
  uint16_t *link = bucket_of (model, model->entries[at].key);
  while (*link != at)
    link = &model->entries[*link].chain;
  *link = model->entries[at].chain;
  unlink_use (model, at);
  return at;
}

static struct cost_entry *
add (struct cost_model *model, uint64_t key, int64_t now_us, double parent_us)
{
  const uint16_t at
      = model->count < COST_MODEL_KEYS_MAX ? model->count++ : evict (model);
  uint16_t *bucket = bucket_of (model, key);
  model->entries[at] = (struct cost_entry){
    .key = key,
    .mean_us = parent_us,
    .weight = parent_us > 0 ? initial_weight : 0,
    .updated_us = now_us,
    .chain = *bucket,
  };
  *bucket = at;
  link_newest (model, at);
  return &model->entries[at];
}

static struct cost_entry *
find_or_add (struct cost_model *model, uint64_t key, int64_t now_us,
             double parent_us)
{
  const uint16_t at = find (model, key);
  if (at == NONE)
    return add (model, key, now_us, parent_us);
  unlink_use (model, at);
  link_newest (model, at);
  return &model->entries[at];
}

double
cost_model_expected_us (const struct cost_model *model,
                        const uint64_t keys[COST_MODEL_LEVELS])
{
  for (int level = 0; level < COST_MODEL_LEVELS; level++)
    {
      const uint16_t at = keys[level] != 0 ? find (model, keys[level]) : NONE;
      if (at != NONE && model->entries[at].mean_us > 0)
        return model->entries[at].mean_us;
    }
  return 0;
}

static void
update (struct cost_entry *e, int64_t now_us, const struct cost_sample *s)
{
  if (s->is_censored && s->work_us <= e->mean_us)
    return;
  /* After a jump back of the clock, samples keep their weight until the time
     of the last one is reached again. */
  if (now_us > e->updated_us)
    {
      e->weight *= exp2 (-(double)(now_us - e->updated_us)
                         / COST_MODEL_HALF_LIFE_US);
      e->updated_us = now_us;
    }
  double work_us = s->work_us;
  if (e->mean_us > 0)
    work_us = fmin (work_us, e->mean_us * max_sample_ratio);
  e->weight += s->weight;
  e->mean_us += (work_us - e->mean_us) * s->weight / e->weight;
}

void
cost_model_observe (struct cost_model *model, int64_t now_us,
                    const uint64_t keys[COST_MODEL_LEVELS],
                    const struct cost_sample *sample)
{
  if (!(sample->work_us > 0) || !(sample->weight > 0))
    return;
  const double expected_us = cost_model_expected_us (model, keys);
  if (!sample->is_censored && expected_us > 0)
    work_distribution_add (&model->distribution,
                           sample->work_us / expected_us);
  double parent_us = 0;
  for (int level = COST_MODEL_LEVELS - 1; level >= 0; level--)
    {
      if (keys[level] == 0)
        continue;
      struct cost_entry *e
          = find_or_add (model, keys[level], now_us, parent_us);
      update (e, now_us, sample);
      parent_us = e->mean_us;
    }
}

const struct work_distribution *
cost_model_distribution (const struct cost_model *model)
{
  return &model->distribution;
}

uint32_t
cost_model_size (const struct cost_model *model)
{
  return model->count;
}
