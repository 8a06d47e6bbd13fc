package org.comfreygap.decisions;

/**
 * The first homes of an adapter among the endpoints that are open, in order.
 *
 * <p>Invariant: at most {@link #COUNT} weights, in falling order. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class FirstHomes {

  /** Homes that are told apart; all other endpoints come after them alike. */
  public static final int COUNT = 4;

  private final long[] weights = new long[COUNT];
  private int count;

  /** Adds the weight of an endpoint, see {@link AdapterHomes#weight(long, long, int)}. */
  public void add(long weight) {
    int at = count;
    if (at == COUNT) {
      if (weight <= weights[COUNT - 1]) {
        return;
      }
      at--;
    } else {
      count++;
    }
    while (at > 0 && weights[at - 1] < weight) {
      weights[at] = weights[at - 1];
      at--;
    }
    weights[at] = weight;
  }

  /** Returns the number of homes before the endpoint with a weight. */
  public int position(long weight) {
    int position = 0;
    while (position < count && weights[position] > weight) {
      position++;
    }
    return position;
  }
}
