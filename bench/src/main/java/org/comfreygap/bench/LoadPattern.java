package org.comfreygap.bench;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Load and engine failures over the time of a {@link LoadModel} simulation.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.3
 */
public enum LoadPattern {
  /** The usual rate, with adapters drawn with a Zipf exponent of 1.2. */
  STEADY,
  /** 1.8 times the usual rate for a third of the time. */
  BURST {
    @Override
    double rateFactor(long millis) {
      return millis > 15_000 && millis < 30_000 ? 1.8 : 1;
    }
  },
  /** A sixth of the requests draw their adapter uniformly, mostly a rarely used one. */
  RARE_ADAPTERS {
    @Override
    double rareShare(long millis) {
      return 1.0 / 6;
    }
  },
  /** The popular adapters change every 8 s. */
  DEMAND_SHIFT {
    @Override
    int popularityShift(long millis) {
      return (int) (millis / 8_000) * 5;
    }
  },
  /** All engines restart empty at a third of the time, as after a power failure. */
  RESTART {
    @Override
    boolean restartsAt(int engine, long millis) {
      return millis == RESTART_MILLIS;
    }
  },
  /** The same, and interrupted callers retry: the store can't load all adapters they need. */
  RESTART_RUSH {
    @Override
    double rateFactor(long millis) {
      return millis > RESTART_MILLIS && millis < RESTART_MILLIS + 5_000 ? 2 : 1;
    }

    @Override
    boolean restartsAt(int engine, long millis) {
      return millis == RESTART_MILLIS;
    }
  },
  /** A quarter of the engines is down for 2 s and restarts empty. */
  ENGINE_LOSS {
    @Override
    boolean isDown(int engine, long millis) {
      return engine % 4 == 0 && millis >= 15_000 && millis < 17_000;
    }

    @Override
    boolean restartsAt(int engine, long millis) {
      return engine % 4 == 0 && millis == 17_000;
    }
  };

  private static final long RESTART_MILLIS = 15_000;

  /** Returns the pattern with the given name, in lower case with dashes. */
  public static Optional<LoadPattern> forName(String name) {
    return Arrays.stream(values())
        .filter(pattern -> pattern.commandLineName().equals(name))
        .findFirst();
  }

  /** Returns the name used on the command line. */
  public String commandLineName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the factor on the usual request rate. */
  double rateFactor(long millis) {
    return 1;
  }

  /** Returns the share of requests whose adapter is drawn uniformly. */
  double rareShare(long millis) {
    return 0;
  }

  /** Returns the number of ranks by which the adapters' popularity has shifted. */
  int popularityShift(long millis) {
    return 0;
  }

  /** Returns true while an engine is down. */
  boolean isDown(int engine, long millis) {
    return false;
  }

  /** Returns true when an engine starts empty at this moment. */
  boolean restartsAt(int engine, long millis) {
    return false;
  }
}
