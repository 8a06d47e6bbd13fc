package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import org.comfreygap.decisions.ScalePolicy;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The block {@code endpointNumbers} of the settings file: an operator's wishes for the number of
 * endpoints that is ordered.
 *
 * <p>Thread safety: stateless.
 */
final class ScaleSettings {

  /** Schema of the block. */
  static final ObjectSchema SCHEMA =
      ObjectSchema.builder()
          .optional("targetShare", FieldRule.number(0.01, 1))
          .optional("priceWeight", FieldRule.number(0, 100))
          .optional("maxChangesPerMinute", FieldRule.integer(1, 60))
          .build();

  private static final String BLOCK = "endpointNumbers.";

  private ScaleSettings() {}

  /** Reads the block; what it does not state is as in {@link ScalePolicy.Settings#DEFAULT}. */
  static ScalePolicy.Settings of(ProcessSettings file) {
    ScalePolicy.Settings absent = ScalePolicy.Settings.DEFAULT;
    return new ScalePolicy.Settings(
        number(file, "targetShare", absent.targetShare()),
        number(file, "priceWeight", absent.priceWeight()),
        (int) file.integer(BLOCK + "maxChangesPerMinute", absent.maxChangesPerMinute()));
  }

  private static double number(ProcessSettings file, String name, double absent) {
    return file.optionalNode(BLOCK + name).map(JsonNode::asDouble).orElse(absent);
  }
}
