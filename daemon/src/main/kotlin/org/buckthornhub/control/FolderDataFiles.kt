package org.buckthornhub.control

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.OpenOption
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** The files of [folder], which is created if it doesn't exist. */
internal class FolderDataFiles(private val folder: Path) : DataFiles {
    init {
        Files.createDirectories(folder)
    }

    override fun read(name: String): ByteArray? = folder.resolve(name).takeIf { Files.exists(it) }?.let { Files.readAllBytes(it) }

    override fun write(name: String, bytes: ByteArray): Unit =
        write(name, bytes, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)

    override fun append(name: String, bytes: ByteArray): Unit = write(name, bytes, StandardOpenOption.APPEND)

    override fun truncate(name: String, length: Long): Unit = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE).use {
        it.truncate(length)
        it.force(true)
    }

    override fun rename(from: String, to: String) {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    }

    override fun syncFolder(): Unit = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

    override fun toString(): String = folder.toString()

    private fun write(name: String, bytes: ByteArray, vararg options: OpenOption) {
        val buffer = ByteBuffer.wrap(bytes)
        FileChannel.open(folder.resolve(name), *options).use { channel ->
            while (buffer.hasRemaining()) channel.write(buffer)
            channel.force(true)
        }
    }
}
