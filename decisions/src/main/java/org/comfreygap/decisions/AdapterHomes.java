package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Gives each adapter version a short ordered list of endpoints, by rendezvous hashing, and the
 * number of them that are its homes, by its popularity.
 *
 * <p>Every gateway computes the same list from the same fleet, so that requests for one adapter go
 * to the same endpoints without any exchange between gateways. Popularity is a request rate that
 * decays exponentially. A fixed table holds rates and lists; when a set of it is full the least
 * popular entry is replaced.
 *
 * <pre>{@code
 * int entry = homes.touch(adapterHash, fleetHashes, members, epoch, now);
 * int first = homes.candidate(entry, 0);
 * }</pre>
 *
 * <p>Invariant: the list of an entry is ordered by falling rendezvous weight and holds no endpoint
 * twice; no method allocates. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class AdapterHomes {

  /** Longest list of endpoints for one adapter. */
  public static final int MAX_CANDIDATES = 16;

  /** Time in which an unused adapter's rate falls to 1/e. */
  public static final Duration DECAY = Duration.ofSeconds(10);

  private static final int WAYS = 8;

  private static final long DRAW_STEP = 0x9E3779B97F4A7C15L;

  private final double requestsPerHome;
  private final int setMask;
  private final long[] keys;
  private final float[] rates;
  private final long[] touchedAtNanos;
  private final int[] epochs;
  private final byte[] counts;
  private final short[] candidates;
  private final long[] weights = new long[MAX_CANDIDATES];
  private double scale = 1;

  /**
   * Creates a table for at least {@code adapters} adapter versions.
   *
   * @param requestsPerHome requests a second for each further home of an adapter
   */
  public AdapterHomes(int adapters, double requestsPerHome) {
    int sets = Integer.highestOneBit(Math.max(1, adapters / WAYS) * 2 - 1);
    int entries = sets * WAYS;
    this.requestsPerHome = requestsPerHome;
    this.setMask = sets - 1;
    this.keys = new long[entries];
    this.rates = new float[entries];
    this.touchedAtNanos = new long[entries];
    this.epochs = new int[entries];
    this.counts = new byte[entries];
    this.candidates = new short[entries * MAX_CANDIDATES];
  }

  /** Sets the ratio of the fleet's request rate to the rate seen here: the number of gateways. */
  public void scale(double factor) {
    this.scale = Math.max(1, factor);
  }

  /**
   * Counts a request for an adapter version and returns its entry, with the list up to date.
   *
   * @param adapter hash of the immutable adapter version name, not 0
   * @param endpointHashes hash of each endpoint's name, by endpoint index
   * @param members indexes of the endpoints that serve the adapter's base model
   * @param epoch changes with each change of the fleet, not 0
   * @param nowNanos monotonic time
   */
  public int touch(long adapter, long[] endpointHashes, int[] members, int epoch, long nowNanos) {
    int entry = find(adapter, nowNanos);
    if (entry < 0) {
      entry = -1 - entry;
      keys[entry] = adapter;
      rates[entry] = 0;
      epochs[entry] = 0;
      touchedAtNanos[entry] = nowNanos;
    }
    rates[entry] = (float) (rate(entry, nowNanos) + 1.0 / DECAY.toSeconds());
    touchedAtNanos[entry] = nowNanos;
    if (epochs[entry] != epoch) {
      rank(entry, adapter, endpointHashes, members);
      epochs[entry] = epoch;
    }
    return entry;
  }

  /** Returns the number of endpoints in the list of {@code entry}. */
  public int size(int entry) {
    return counts[entry];
  }

  /** Returns the endpoint index at {@code position} in the list of {@code entry}. */
  public int candidate(int entry, int position) {
    return candidates[entry * MAX_CANDIDATES + position];
  }

  /** Returns how many of the first endpoints in the list are homes; at least 1. */
  public int homes(int entry) {
    int wanted = 1 + (int) (rates[entry] * scale / requestsPerHome);
    return Math.min(wanted, MAX_CANDIDATES);
  }

  /** Returns the rendezvous weight of an endpoint for an adapter; the highest is the first home. */
  public static long weight(long adapter, long endpoint) {
    long x = adapter ^ endpoint;
    x = (x ^ (x >>> 32)) * 0x9E3779B97F4A7C15L;
    x = (x ^ (x >>> 29)) * 0xBF58476D1CE4E5B9L;
    return x ^ (x >>> 32);
  }

  /**
   * Returns the weight of an endpoint that is in the draw several times, so that it is a home of
   * more adapters than others.
   *
   * @param times how often it is in the draw, at least once
   */
  public static long weight(long adapter, long endpoint, int times) {
    long highest = weight(adapter, endpoint);
    for (int i = 1; i < times; i++) {
      highest = Math.max(highest, weight(adapter, endpoint + i * DRAW_STEP));
    }
    return highest;
  }

  /** Returns a 64-bit hash of {@code name}, never 0. */
  public static long hash(String name) {
    long h = 0xCBF29CE484222325L;
    for (int i = 0; i < name.length(); i++) {
      h = (h ^ name.charAt(i)) * 0x100000001B3L;
    }
    h = (h ^ (h >>> 33)) * 0xFF51AFD7ED558CCDL;
    h ^= h >>> 33;
    return h == 0 ? 1 : h;
  }

  private double rate(int entry, long nowNanos) {
    long age = Math.max(0, nowNanos - touchedAtNanos[entry]);
    return rates[entry] * Math.exp(-age / (double) DECAY.toNanos());
  }

  private int find(long adapter, long nowNanos) {
    int first = ((int) (adapter >>> 17) & setMask) * WAYS;
    int victim = first;
    double lowest = Double.MAX_VALUE;
    for (int entry = first; entry < first + WAYS; entry++) {
      if (keys[entry] == adapter) {
        return entry;
      }
      double rate = keys[entry] == 0 ? -1 : rate(entry, nowNanos);
      if (rate < lowest) {
        lowest = rate;
        victim = entry;
      }
    }
    return -1 - victim;
  }

  private void rank(int entry, long adapter, long[] endpointHashes, int[] members) {
    int base = entry * MAX_CANDIDATES;
    int count = 0;
    for (int endpoint : members) {
      long weight = weight(adapter, endpointHashes[endpoint]);
      if (count == MAX_CANDIDATES && weight <= weights[count - 1]) {
        continue;
      }
      int at = count < MAX_CANDIDATES ? count++ : count - 1;
      while (at > 0 && weights[at - 1] < weight) {
        weights[at] = weights[at - 1];
        candidates[base + at] = candidates[base + at - 1];
        at--;
      }
      weights[at] = weight;
      candidates[base + at] = (short) endpoint;
    }
    counts[entry] = (byte) count;
  }
}
