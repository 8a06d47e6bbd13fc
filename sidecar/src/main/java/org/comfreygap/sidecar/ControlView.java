package org.comfreygap.sidecar;

import org.comfreygap.settings.SettingsView;

/**
 * What the sidecar knows from control at the moment of a decision.
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
