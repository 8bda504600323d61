#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <cstdlib>
#include <string>

extern "C"
{
#include "base/counters.h"
}

namespace
{

std::string
expose (counters *all)
{
  char *text = counters_expose (all);
  std::string copy = text;
  free (text);
  return copy;
}

TEST (Counters, ExposesSumsWithQuotedLabels)
{
  counters *all = counters_create ();
  counter_family_options options{};
  options.name = "jaystair_requests_total";
  options.help = "Requests.";
  options.label_names[0] = "service";
  counter_family *family = counters_family (all, &options);
  const char *labels[] = { "a\"b" };
  counter_add (counter_series (family, labels), 2);
  counter_add (counter_series (family, labels), 3);
  EXPECT_EQ (expose (all), "# HELP jaystair_requests_total Requests.\n"
                           "# TYPE jaystair_requests_total counter\n"
                           "jaystair_requests_total{service=\"a\\\"b\"} 5\n");
  counters_destroy (all);
}

/* If callers send ever new label values, memory must stay bounded and no count
   must be lost: series beyond the limit share one. */
TEST (Counters, SeriesBeyondTheLimitShareOne)
{
  counters *all = counters_create ();
  counter_family_options options{};
  options.name = "n";
  options.help = "N.";
  options.label_names[0] = "l";
  options.series_max = 2;
  counter_family *family = counters_family (all, &options);
  for (int i = 0; i < 100; i++)
    {
      const std::string value = std::to_string (i);
      const char *labels[] = { value.c_str () };
      counter_add (counter_series (family, labels), 1);
    }
  const std::string text = expose (all);
  EXPECT_NE (text.find ("n{l=\"other\"} 98\n"), std::string::npos) << text;
  counters_destroy (all);
}

/* Compares the buckets with a naive count of the same durations. */
TEST (Counters, HistogramsMatchANaiveCount)
{
  counters *c = counters_create ();
  const counter_family_options options = {
    "jaystair_request_seconds", "Times.", COUNTER_HISTOGRAM, { "service" }, 0
  };
  counter_family *family = counters_family (c, &options);
  const char *const labels[] = { "holds" };
  counter_histogram *h = counter_histogram_series (family, labels);
  std::vector<int64_t> times;
  int64_t sum = 0;
  for (int64_t i = 0; i < 5000; i++)
    times.push_back (i * i * 7 % 70000000);
  times.insert (times.end (), { 0, 1000, 1001, 60000000, 60000001, -5 });
  for (const int64_t time : times)
    {
      counter_observe (h, time);
      sum += std::max<int64_t> (time, 0);
    }
  char *text = counters_expose (c);
  const std::string exposed = text;
  free (text);
  for (const char *bound : { "0.001", "0.02", "1", "60" })
    {
      const auto below
          = std::count_if (times.begin (), times.end (), [&] (int64_t time) {
              return (double)time <= std::stod (bound) * 1e6;
            });
      const std::string line
          = std::string ("jaystair_request_seconds_bucket{service=\"holds\","
                         "le=\"")
            + bound + "\"} " + std::to_string (below) + "\n";
      EXPECT_NE (exposed.find (line), std::string::npos) << line << exposed;
    }
  EXPECT_NE (exposed.find ("le=\"+Inf\"} 5006\n"), std::string::npos);
  EXPECT_NE (exposed.find ("_count{service=\"holds\"} 5006\n"),
             std::string::npos);
  char expected[64];
  snprintf (expected, sizeof expected, "_sum{service=\"holds\"} %.6f\n",
            (double)sum / 1e6);
  EXPECT_NE (exposed.find (expected), std::string::npos) << exposed;
  EXPECT_NE (exposed.find ("# TYPE jaystair_request_seconds histogram"),
             std::string::npos);
  counters_destroy (c);
}

} // namespace
