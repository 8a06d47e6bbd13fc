package org.comfreygap.bench;

import java.util.Collection;
import java.util.Locale;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Runs the microbenchmarks and prints {@code name value} lines: median and 99th percentile in
 * microseconds, and bytes allocated per operation.
 *
 * <p>Thread safety: one run in a process.
 *
 * @since 0.1
 */
public final class BenchmarkMain {

  private BenchmarkMain() {}

  /** Runs all benchmarks, or those that match the only argument. */
  public static void main(String[] args) throws RunnerException {
    Options options =
        new OptionsBuilder()
            .include(args.length > 0 ? args[0] : DecisionBenchmarks.class.getSimpleName())
            .addProfiler(GCProfiler.class)
            .verbosity(VerboseMode.SILENT)
            .build();
    Collection<RunResult> results = new Runner(options).run();
    for (RunResult result : results) {
      String label = result.getPrimaryResult().getLabel();
      var statistics = result.getPrimaryResult().getStatistics();
      print(label + "_p50_us", statistics.getPercentile(50));
      print(label + "_p99_us", statistics.getPercentile(99));
      result
          .getSecondaryResults()
          .forEach(
              (name, value) -> {
                if (name.endsWith("gc.alloc.rate.norm")) {
                  print(label + "_allocated_bytes", value.getScore());
                }
              });
    }
  }

  private static void print(String name, double value) {
    System.out.println(String.format(Locale.ROOT, "%s %.3f", name, value));
  }
}
