package org.comfreygap.control;

import java.util.List;
import java.util.stream.Collectors;
import org.comfreygap.settings.Fault;

/**
 * Thrown when a publication has faults; no part of it is in force.
 *
 * @since 0.2
 */
public final class PublicationRefused extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /** Creates the error with every fault that was found. */
  public PublicationRefused(List<Fault> faults) {
    super(faults.stream().map(Fault::message).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns every fault that was found. */
  public List<Fault> faults() {
    return faults;
  }
}
