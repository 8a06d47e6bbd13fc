package org.comfreygap.control;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SequenceWriter;
import com.fasterxml.jackson.databind.deser.std.StringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Snapshot format: gzip-compressed JSON lines, written and read one at a time so that a snapshot is
 * never held in memory.
 *
 * <p>Invariant: the first line is a header with the current format number. Thread safety:
 * stateless.
 */
final class SnapshotFile {

  private static final int BUFFER_BYTES = 64 * 1024;

  private SnapshotFile() {}

  /** Produces the lines of a snapshot. */
  @FunctionalInterface
  interface LineSource {
    void writeTo(LineWriter lines) throws IOException;
  }

  static void write(OutputStream out, LineSource source) throws IOException {
    GZIPOutputStream compressed = new GZIPOutputStream(out, BUFFER_BYTES);
    ObjectWriter writer =
        Codec.MAPPER
            .writerFor(SnapshotLine.class)
            .without(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
            .withRootValueSeparator("\n");
    try (SequenceWriter lines = writer.writeValues(compressed)) {
      source.writeTo(new LineWriter(lines));
    }
    compressed.finish();
    out.flush();
  }

  static void read(InputStream in, Consumer<SnapshotLine> consumer) throws IOException {
    JsonMapper mapper =
        JsonMapper.builder()
            .addModule(
                new SimpleModule().addDeserializer(String.class, new InterningDeserializer()))
            .build();
    GZIPInputStream plain = new GZIPInputStream(in, BUFFER_BYTES);
    MappingIterator<SnapshotLine> lines = mapper.readerFor(SnapshotLine.class).readValues(plain);
    boolean first = true;
    while (lines.hasNextValue()) {
      SnapshotLine line = lines.nextValue();
      if (first
          && !(line instanceof SnapshotLine.Header header
              && header.format() == SnapshotLine.Header.FORMAT)) {
        throw new IOException(
            "given a snapshot without a header of the current format, expected format "
                + SnapshotLine.Header.FORMAT);
      }
      first = false;
      consumer.accept(line);
    }
    if (first) {
      throw new IOException("given an empty snapshot, expected a header");
    }
  }

  /** Writes single lines of a snapshot. */
  static final class LineWriter {

    private final SequenceWriter writer;

    private LineWriter(SequenceWriter writer) {
      this.writer = writer;
    }

    void write(SnapshotLine line) throws IOException {
      writer.write(line);
    }

    <T> void writeAll(Collection<T> items, Function<T, SnapshotLine> line) throws IOException {
      for (T item : items) {
        writer.write(line.apply(item));
      }
    }
  }

  /**
   * Deserializes equal strings to one object: the history repeats the paths and documents of the
   * tree, and separate copies would double the memory after a restart.
   */
  private static final class InterningDeserializer extends StringDeserializer {

    private static final long serialVersionUID = 1L;

    private final transient Map<String, String> known = new HashMap<>();

    @Override
    public String deserialize(JsonParser parser, DeserializationContext context)
        throws IOException {
      String text = super.deserialize(parser, context);
      if (text == null) {
        return null;
      }
      String earlier = known.putIfAbsent(text, text);
      return earlier == null ? text : earlier;
    }
  }
}
