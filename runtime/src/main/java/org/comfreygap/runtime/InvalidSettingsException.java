package org.comfreygap.runtime;

import java.util.List;
import java.util.stream.Collectors;
import org.comfreygap.settings.Fault;

/**
 * Thrown when a settings file is unreadable or invalid. The message lists every fault.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public final class InvalidSettingsException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /** Creates the exception for {@code source}, the file name. */
  public InvalidSettingsException(String source, List<Fault> faults) {
    super(
        source
            + ": "
            + faults.size()
            + (faults.size() == 1 ? " fault" : " faults")
            + faults.stream().map(f -> "\n  " + f.message()).collect(Collectors.joining()));
    this.faults = List.copyOf(faults);
  }

  /** Returns the faults. */
  public List<Fault> faults() {
    return faults;
  }
}
