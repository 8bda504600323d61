#include <gtest/gtest.h>

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

/* A caller makes up label values without end.  Memory must stay bounded and
   nothing counted may be lost: what is past the bound shares one series. */
TEST (Counters, SeriesPastTheBoundShareOne)
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

} // namespace
