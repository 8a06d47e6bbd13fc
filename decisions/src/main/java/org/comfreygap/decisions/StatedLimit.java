package org.comfreygap.decisions;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What one response of an endpoint says about the requests a second that it takes from all gateways
 * together.
 *
 * <pre>{@code
 * StatedLimit limit = StatedLimit.parse(List.of("1.5"));
 * }</pre>
 *
 * <p>Invariant: the rate is finite and not negative, and 0 unless a limit is stated. Thread safety:
 * immutable.
 *
 * @param perSecond requests a second; 0 when none are taken
 * @since 0.4
 */
public record StatedLimit(Kind kind, double perSecond) {

  /** The response states no limit, so that none applies any more. */
  public static final StatedLimit NONE = new StatedLimit(Kind.NONE, 0);

  /** The response states something that is not a limit. */
  public static final StatedLimit INVALID = new StatedLimit(Kind.INVALID, 0);

  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

  /** What kind of statement a response contains. */
  public enum Kind {
    NONE,
    LIMIT,
    INVALID
  }

  /** Returns a limit of {@code perSecond} requests a second. */
  public static StatedLimit of(double perSecond) {
    if (!Double.isFinite(perSecond) || perSecond < 0) {
      throw new IllegalArgumentException(
          "perSecond: given " + perSecond + ", expected a finite number from 0");
    }
    return new StatedLimit(Kind.LIMIT, perSecond);
  }

  /**
   * Reads the values of the header that states the limit.
   *
   * @param values one value for each occurrence of the header
   * @return {@link #NONE} without a value, {@link #INVALID} for anything but one decimal number
   */
  public static StatedLimit parse(List<String> values) {
    if (values.isEmpty()) {
      return NONE;
    }
    String text = values.get(0).strip();
    if (values.size() > 1 || !DECIMAL.matcher(text).matches()) {
      return INVALID;
    }
    return of(Double.parseDouble(text));
  }

  /** Returns true when a limit is stated. */
  public boolean isLimit() {
    return kind == Kind.LIMIT;
  }
}
