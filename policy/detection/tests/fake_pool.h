/** @file
 * A seeded stream of request outcomes of one service, with the reporting hosts
 * and the owner, for tests and benchmarks of detection.
 */
#ifndef POLICY_DETECTION_TESTS_FAKE_POOL_H
#define POLICY_DETECTION_TESTS_FAKE_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "policy/detection/detector.h"

enum
{
  FAKE_TARGETS_MAX = 16,
  FAKE_HOSTS_MAX = 16,
  FAKE_ALL = -1
};

/** A fault of the first `targets` targets, observed from one dc, by one host
 * or by all. */
struct fake_fault
{
  uint32_t targets;
  int32_t dc;   /**< FAKE_ALL: observed from all */
  int32_t host; /**< FAKE_ALL: observed by all */
  int64_t start_us;
  int64_t end_us;     /**< 0: never */
  int64_t period_us;  /**< faulty in the first half of each; 0: always */
  double failures;    /**< share of failing requests */
  double timeouts;    /**< share of requests that time out */
  double slow_factor; /**< on latency; 0 is 1 */
};

struct fake_pool
{
  struct rng rng;
  uint32_t targets;
  uint32_t dcs;
  uint32_t hosts;             /**< host H is in dc H % dcs */
  double requests_per_second; /**< per target */
  double background;          /**< normal share of failures */
  struct fake_fault fault;
  uint32_t shares[FAKE_TARGETS_MAX]; /**< of an even share, in 1/1000 */
  int64_t now_us;
};

struct fake_outcome
{
  int64_t now_us;
  uint32_t target;
  uint32_t host;
  enum attempt_end end;
  int64_t latency_us;
};

/** Ten targets, three dcs, twelve hosts, 19 requests/s a target, 1 %. */
void fake_pool_init (struct fake_pool *pool, uint64_t seed);
struct fake_outcome fake_pool_next (struct fake_pool *pool);

/** The hosts' recorders and the owner's detector. */
struct fake_fleet
{
  struct detection_recorder *recorders[FAKE_HOSTS_MAX];
  int64_t reported_us[FAKE_HOSTS_MAX];
  int64_t stepped_us;
  struct detection_detector *detector;
  uint32_t dcs;
  uint64_t keys[FAKE_TARGETS_MAX];
};

void fake_fleet_init (struct fake_fleet *fleet, const struct fake_pool *pool,
                      const struct detection_detector_options *options);
void fake_fleet_clear (struct fake_fleet *fleet);

/** Records one outcome.  Hosts report every second, or after 0.1 s if there
 * are many failures; the owner decides after such an urgent report and
 * otherwise every 0.1 s.
 * @return whether the owner decided */
bool fake_fleet_feed (struct fake_fleet *fleet, const struct fake_outcome *o,
                      struct detection_decisions *decisions);

/** Returns the number of the target with KEY. */
uint32_t fake_fleet_target (const struct fake_fleet *fleet, uint64_t key);
uint64_t fake_dc_key (uint32_t dc);
uint64_t fake_host_key (uint32_t host);

#endif
