#include "policy/detection/cusum.h"

#include <assert.h>
#include <math.h>

struct cusum
cusum_make (double normal, double faulty)
{
  assert (0 < normal && normal < faulty && faulty < 1);
  return (struct cusum){
    .hit = log (faulty / normal),
    .miss = log ((1 - faulty) / (1 - normal)),
  };
}

double
cusum_ratio (const struct cusum *test, uint32_t hits, uint32_t misses)
{
  return hits * test->hit + misses * test->miss;
}

double
cusum_update (double score, double ratio, double max)
{
  double sum = score + ratio;
  if (sum < 0)
    return 0;
  return sum < max ? sum : max;
}
