#include "node/caller/caller_counters.h"

void
caller_counters_init (struct caller_counters *families,
                      struct counters *counters)
{
  const struct counter_family_options requests
      = { .name = "jaystair_requests_total",
          .help = "Requests answered, by what became of them.",
          .label_names = { "service", "outcome" } };
  const struct counter_family_options attempts
      = { .name = "jaystair_attempts_total",
          .help = "Attempts at targets, by how they ended.",
          .label_names = { "service", "end" } };
  const struct counter_family_options retries
      = { .name = "jaystair_retries_total",
          .help = "Attempts after the first one of a request.",
          .label_names = { "service" } };
  const struct counter_family_options timeouts
      = { .name = "jaystair_attempt_timeouts_total",
          .help = "Attempts whose target hung, by what followed.",
          .label_names = { "service", "then" } };
  const struct counter_family_options working_set
      = { .name = "jaystair_working_set_requests_total",
          .help = "Requests sent to targets that were due to come into use.",
          .label_names = { "service" } };
  const struct counter_family_options refusals
      = { .name = "jaystair_refusals_total",
          .help = "Requests answered by the fleet itself, by reason.",
          .label_names = { "service", "reason" } };
  const struct counter_family_options precedence
      = { .name = "jaystair_precedence_refusals_total",
          .help = "Queued requests displaced, and retries refused, since "
                  "requests of a lower precedence number go first.",
          .label_names = { "service", "reason" } };
  const struct counter_family_options target_crashes
      = { .name = "jaystair_target_crashes_total",
          .help = "Targets found not to listen any more after the connection "
                  "of a request broke.",
          .label_names = { "service" } };
  const struct counter_family_options rejections
      = { .name = "jaystair_target_rejections_total",
          .help = "Requests that targets rejected without running them, by "
                  "whether the connection had carried other requests.",
          .label_names = { "service", "connection" } };
  const struct counter_family_options foreign_answers
      = { .name = "jaystair_foreign_answers_total",
          .help = "Answers that weren't to the request in flight on their "
                  "connection, which was closed.",
          .label_names = { "service" } };
  const struct counter_family_options poison_blocks
      = { .name = "jaystair_poison_blocks_total",
          .help = "Requests blocked because targets crashed while they ran "
                  "them, by where that was learned.",
          .label_names = { "source" } };
  const struct counter_family_options half_closed
      = { .name = "jaystair_half_closed_requests_total",
          .help = "Requests whose callers ended their sending side before the "
                  "answer, by what followed.",
          .label_names = { "service", "then" } };
  const struct counter_family_options lingering
      = { .name = "jaystair_lingering_connections",
          .help = "Connections that are closed here and not yet by callers.",
          .kind = COUNTER_GAUGE };
  const struct counter_family_options in_flight
      = { .name = "jaystair_requests_in_flight",
          .help = "Requests taken in and not yet answered to the end.",
          .kind = COUNTER_GAUGE };
  const struct counter_family_options forwards
      = { .name = "jaystair_forwards_total",
          .help = "Requests passed on whole to another host, since this one "
                  "was cut from all targets.",
          .label_names = { "service" } };
  const struct counter_family_options expected_work
      = { .name = "jaystair_expected_work_microseconds_total",
          .help = "Expected work of the answered attempts.",
          .label_names = { "service" } };
  const struct counter_family_options actual_work
      = { .name = "jaystair_actual_work_microseconds_total",
          .help = "Time that these attempts took.",
          .label_names = { "service" } };
  const struct counter_family_options cut_from_targets
      = { .name = "jaystair_cut_from_targets",
          .help = "Whether this host is cut from all targets.",
          .kind = COUNTER_GAUGE };
  const struct counter_family_options addresses
      = { .name = "jaystair_address_answers_total",
          .help = "Address answers given to callers." };
  const struct counter_family_options request_times
      = { .name = "jaystair_request_seconds",
          .help = "From a request's head to the end of its answer.",
          .kind = COUNTER_HISTOGRAM,
          .label_names = { "service", "outcome" } };
  const struct counter_family_options config_age
      = { .name = "jaystair_config_age_seconds",
          .help = "Age of the proof that the configuration in force was the "
                  "newest, when a request was routed by it.",
          .kind = COUNTER_HISTOGRAM };
  const struct counter_family_options attempt_times
      = { .name = "jaystair_attempt_seconds",
          .help = "From the sending of an attempt to its end.",
          .kind = COUNTER_HISTOGRAM,
          .label_names = { "service", "end" } };
  families->request_times = counters_family (counters, &request_times);
  families->attempt_times = counters_family (counters, &attempt_times);
  families->config_age = counter_histogram_series (
      counters_family (counters, &config_age), NULL);
  families->requests = counters_family (counters, &requests);
  families->attempts = counters_family (counters, &attempts);
  families->retries = counters_family (counters, &retries);
  families->timeouts = counters_family (counters, &timeouts);
  families->working_set = counters_family (counters, &working_set);
  families->refusals = counters_family (counters, &refusals);
  families->precedence = counters_family (counters, &precedence);
  families->rejections = counters_family (counters, &rejections);
  families->foreign_answers = counters_family (counters, &foreign_answers);
  families->half_closed = counters_family (counters, &half_closed);
  families->poison_blocks = counters_family (counters, &poison_blocks);
  families->target_crashes = counters_family (counters, &target_crashes);
  families->forwards = counters_family (counters, &forwards);
  families->expected_work = counters_family (counters, &expected_work);
  families->actual_work = counters_family (counters, &actual_work);
  families->cut_from_targets
      = counter_series (counters_family (counters, &cut_from_targets), NULL);
  families->lingering
      = counter_series (counters_family (counters, &lingering), NULL);
  families->in_flight
      = counter_series (counters_family (counters, &in_flight), NULL);
  families->address_answers
      = counter_series (counters_family (counters, &addresses), NULL);
}

void
caller_counters_add (struct counter_family *family, const char *first,
                     const char *second)
{
  const char *const labels[] = { first, second };
  counter_add (counter_series (family, labels), 1);
}

void
caller_counters_add_amount (struct counter_family *family, const char *first,
                            int64_t amount)
{
  const char *const labels[] = { first, NULL };
  counter_add (counter_series (family, labels), amount);
}

void
caller_counters_observe (struct counter_family *family, const char *first,
                         const char *second, int64_t time_us)
{
  const char *const labels[] = { first, second };
  counter_observe (counter_histogram_series (family, labels), time_us);
}
