package org.comfreygap.bench;

import java.util.Arrays;
import java.util.Random;

/**
 * Draws ranks from a Zipf distribution by inversion of its cumulative distribution.
 *
 * <p>Thread safety: immutable; the random source is an argument.
 *
 * @since 0.1
 */
final class Zipf {

  private final double[] cumulative;

  Zipf(int ranks, double exponent) {
    cumulative = new double[ranks];
    double sum = 0;
    for (int i = 0; i < ranks; i++) {
      sum += Math.pow(i + 1, -exponent);
      cumulative[i] = sum;
    }
    for (int i = 0; i < ranks; i++) {
      cumulative[i] /= sum;
    }
  }

  int draw(Random random) {
    int at = Arrays.binarySearch(cumulative, random.nextDouble());
    return Math.min(at >= 0 ? at : -at - 1, cumulative.length - 1);
  }
}
