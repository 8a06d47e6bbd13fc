package org.comfreygap.sidecar;

import org.comfreygap.settings.SettingsView;

/**
 * The sidecar's current view of the state published by control.
 *
 * <p>Thread safety: implementations may be called from any thread.
 */
interface ControlView {

  /** Returns the settings in force. */
  SettingsView settings();

  /** Returns true while the settings lease is valid. */
  boolean settingsLeaseValid();

  /** Returns true when {@code fingerprint} is quarantined. */
  boolean quarantined(String fingerprint, long nowNanos);
}
