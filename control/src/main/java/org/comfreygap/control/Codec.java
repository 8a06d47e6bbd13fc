package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON form of commands, their answers and snapshot lines.
 *
 * <p>Invariant: a command of an unknown type cannot be read, so that a replica of an older version
 * stops instead of leaving the command out. Thread safety: stateless.
 */
final class Codec {

  static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private static final ObjectReader COMMANDS = MAPPER.readerFor(Command.class);

  private Codec() {}

  static byte[] encode(Command command) {
    try {
      return MAPPER.writerFor(Command.class).writeValueAsBytes(command);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a command cannot be written", e);
    }
  }

  static Command decode(byte[] bytes) {
    try {
      return COMMANDS.readValue(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException("a command in the log cannot be read", e);
    }
  }

  static byte[] encodeResult(Object answer) {
    try {
      return MAPPER.writeValueAsBytes(answer);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an answer cannot be written", e);
    }
  }

  static <T> T decodeResult(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new UncheckedIOException("an answer of the state machine cannot be read", e);
    }
  }
}
