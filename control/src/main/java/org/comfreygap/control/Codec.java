package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * JSON encoding of commands, their results and snapshot lines.
 *
 * <p>Invariant: decoding a command of an unknown type fails, so that a replica of an older version
 * stops instead of skipping the command. Thread safety: stateless.
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
      throw new IllegalStateException("cannot serialize a command", e);
    }
  }

  static Command decode(byte[] bytes) {
    try {
      return COMMANDS.readValue(bytes);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot deserialize a command of the replicated log", e);
    }
  }

  static byte[] encodeResult(Object result) {
    try {
      return MAPPER.writeValueAsBytes(result);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize the result of a command", e);
    }
  }

  static <T> T decodeResult(byte[] bytes, Class<T> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot deserialize the result of a command", e);
    }
  }
}
