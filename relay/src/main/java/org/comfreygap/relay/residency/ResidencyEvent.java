package org.comfreygap.relay.residency;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of a sidecar that keeps adapters resident.
 *
 * <p>Thread safety: immutable.
 */
public enum ResidencyEvent implements Event {
  ENGINE_STARTED(4501, Level.INFO, "The engine was first seen or has restarted."),
  ENGINE_SILENT(4502, Level.WARN, "The engine does not respond to its sidecar."),
  ENGINE_BACK(4503, Level.INFO, "The engine responds to its sidecar again."),
  ENGINE_COLD(4504, Level.INFO, "The engine became cold or is no longer cold."),
  ENGINE_LIMITED(4505, Level.INFO, "The engine stated another request limit to its sidecar."),
  ORDER_GIVEN(4510, Level.INFO, "The engine accepted a command."),
  ORDER_FAILED(4511, Level.WARN, "A command was refused or got no response."),
  ADAPTER_NOT_LOADED(4512, Level.INFO, "A requested adapter was not loaded in time."),
  GATEWAY_CONNECTED(4520, Level.INFO, "A gateway is connected."),
  GATEWAY_LOST(4521, Level.INFO, "The connection of a gateway ended.");

  private final int number;
  private final Level level;
  private final String description;

  ResidencyEvent(int number, Level level, String description) {
    this.number = number;
    this.level = level;
    this.description = description;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String description() {
    return description;
  }
}
