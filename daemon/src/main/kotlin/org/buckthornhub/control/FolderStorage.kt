package org.buckthornhub.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.SerializationException
import org.buckthornhub.fleet.VmId
import org.buckthornhub.http.PeerJson
import org.buckthornhub.replication.ControlStorage
import org.buckthornhub.replication.DiskId
import org.buckthornhub.replication.DurableRecord
import org.buckthornhub.replication.DurableRecords
import org.buckthornhub.replication.Member
import java.io.File
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption
import java.util.UUID

/** The data folder of one control VM: a mark that says whose it is, and one file of records. */
internal class FolderStorage private constructor(private val folder: Path) : ControlStorage {
    override fun append(records: PersistentList<DurableRecord>): Unit =
        write(folder.resolve(RECORDS), records, StandardOpenOption.CREATE, StandardOpenOption.APPEND)

    override fun rewrite(records: PersistentList<DurableRecord>) {
        val fresh = folder.resolve("$RECORDS.new")
        write(fresh, records, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)
        Files.move(fresh, folder.resolve(RECORDS), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        syncFolder(folder)
    }

    private fun write(path: Path, records: List<DurableRecord>, vararg options: StandardOpenOption) {
        val bytes = ByteBuffer.wrap(records.joinToString("") { RecordLine.encode(it) }.toByteArray())
        FileChannel.open(path, *options).use { channel ->
            while (bytes.hasRemaining()) channel.write(bytes)
            channel.force(true)
        }
    }

    internal companion object {
        const val FORMAT = 1
        const val MARK = "mark.json"
        const val RECORDS = "records"

        /** Opens [folder] for [vm], and makes it a folder of a new disk if it is empty. */
        fun open(folder: File, vm: VmId): Result<OpenedStorage, StorageFault> {
            Files.createDirectories(folder.toPath())
            val mark = markOf(folder, vm).getOrElse { return Err(it) }
            if (mark.format > FORMAT) return fault("$folder has format ${mark.format}; this version knows formats up to $FORMAT")
            if (mark.owner.vm != vm) return fault("$folder belongs to VM ${mark.owner.vm}, not to $vm")
            val records = recordsOf(File(folder, RECORDS)).getOrElse { return Err(it) }
            return Ok(OpenedStorage(mark.owner, DurableRecords.replay(records), FolderStorage(folder.toPath())))
        }

        private fun markOf(folder: File, vm: VmId): Result<FolderMark, StorageFault> {
            val file = File(folder, MARK)
            if (!file.exists()) return newMark(folder, vm)
            return try {
                Ok(PeerJson.decodeFromString(FolderMark.serializer(), file.readText()))
            } catch (e: SerializationException) {
                fault("$file is damaged: ${e.message.orEmpty().lineSequence().first()}")
            }
        }

        private fun newMark(folder: File, vm: VmId): Result<FolderMark, StorageFault> {
            if (File(folder, RECORDS).exists()) return fault("$folder holds records but no $MARK")
            val mark = FolderMark(FORMAT, Member(vm, DiskId(UUID.randomUUID().toString())))
            val fresh = File(folder, "$MARK.new").toPath()
            Files.writeString(fresh, PeerJson.encodeToString(FolderMark.serializer(), mark))
            FileChannel.open(fresh, StandardOpenOption.WRITE).use { it.force(true) }
            Files.move(fresh, folder.toPath().resolve(MARK), StandardCopyOption.ATOMIC_MOVE)
            syncFolder(folder.toPath())
            return Ok(mark)
        }

        private fun recordsOf(file: File): Result<List<DurableRecord>, StorageFault> {
            if (!file.exists()) return Ok(emptyList())
            val text = file.readText()
            // A record without its end was never synced, so nothing was promised on it.
            val whole = text.substringBeforeLast('\n', missingDelimiterValue = "")
            if (whole.length + 1 < text.length) cut(file, whole)
            val lines = if (whole.isEmpty()) emptyList() else whole.split('\n')
            val records = lines.map { RecordLine.decode(it) }
            val damaged = records.indexOf(null)
            if (damaged >= 0) return fault("$file is damaged in record ${damaged + 1} of ${records.size}; replace the disk and start empty")
            return Ok(records.filterNotNull().toPersistentList())
        }

        private fun cut(file: File, whole: String) {
            val length = if (whole.isEmpty()) 0L else whole.toByteArray().size + 1L
            FileChannel.open(file.toPath(), StandardOpenOption.WRITE).use {
                it.truncate(length)
                it.force(true)
            }
        }

        private fun syncFolder(folder: Path): Unit = FileChannel.open(folder, StandardOpenOption.READ).use { it.force(true) }

        private fun fault(detail: String) = Err(StorageFault(detail))
    }
}
