package org.comfreygap.bench;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * The command line of {@code bin/measure}.
 *
 * @param profile load and fleet
 * @param fault the one fault of the run; empty for the profile's own events
 * @param quick a short run of less than 45 s in total
 * @param seed seed of the load
 * @param json output file of the figures
 * @param plot output folder of the plots
 * @param naiveOnly runs only the naive policy, to examine the measurement itself
 * @since 0.1
 */
record MeasureOptions(
    Profile profile,
    Optional<Fault> fault,
    boolean quick,
    long seed,
    Optional<Path> json,
    Optional<Path> plot,
    boolean naiveOnly) {

  static final String USAGE =
      "usage: bin/measure [--profile lianhua|glasnik] [--fault NAME] [--quick] [--seed N]"
          + " [--json FILE] [--plot DIR] [--naive-only]\n  faults: "
          + String.join(" ", Fault.names());

  private static final long DEFAULT_SEED = 20_260_101;

  /** Parses the arguments; throws IllegalArgumentException for wrong usage. */
  static MeasureOptions parse(String[] args) {
    Profile profile = Profile.LIANHUA;
    Optional<Fault> fault = Optional.empty();
    boolean quick = false;
    boolean naiveOnly = false;
    long seed = DEFAULT_SEED;
    Optional<Path> json = Optional.empty();
    Optional<Path> plot = Optional.empty();
    for (int i = 0; i < args.length; i++) {
      switch (args[i]) {
        case "--quick" -> quick = true;
        case "--naive-only" -> naiveOnly = true;
        case "--profile" -> profile = Profile.parse(requiredValue(args, ++i));
        case "--fault" -> fault = Optional.of(Fault.parse(requiredValue(args, ++i)));
        case "--seed" -> seed = Long.parseLong(requiredValue(args, ++i));
        case "--json" -> json = Optional.of(Path.of(requiredValue(args, ++i)));
        case "--plot" -> plot = Optional.of(Path.of(requiredValue(args, ++i)));
        default -> throw new IllegalArgumentException("unknown option " + args[i] + "\n" + USAGE);
      }
    }
    return new MeasureOptions(profile, fault, quick, seed, json, plot, naiveOnly);
  }

  /** Returns the duration of the measured load. */
  long loadMicros() {
    return (quick ? 16 : 90) * 1_000_000L;
  }

  /** Returns the duration of the warm-up load, which fills the slots before the measurement. */
  long warmUpMicros() {
    return (quick ? 3 : 15) * 1_000_000L;
  }

  /** Returns the callers' response timeout. */
  long callerTimeoutMillis() {
    return quick ? 6_000 : 20_000;
  }

  private static String requiredValue(String[] args, int at) {
    if (at >= args.length) {
      throw new IllegalArgumentException("option " + args[at - 1] + " requires a value");
    }
    return args[at];
  }

  /** The faults that can be chosen with {@code --fault}. */
  enum Fault {
    ENGINE_RESTART,
    ZONE_OUT,
    LEADER_KILL,
    SILENT_CONNECTION,
    CRASH_REQUEST,
    SIDECAR_KILL,
    GATEWAY_KILL,
    PARTITION;

    static Fault parse(String name) {
      return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }

    static List<String> names() {
      return Arrays.stream(values())
          .map(fault -> fault.name().toLowerCase(Locale.ROOT).replace('_', '-'))
          .toList();
    }
  }
}
